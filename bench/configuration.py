"""Size and processor time of documents, deltas and snapshots."""

import json
import sys
import time

import msgspec

from papayalink.state import changes
from papayalink.state import configuration as configurations
from papayalink.state import document as documents
from papayalink.state import validation

# Workspaces and upstreams: today, a quarter of the design size, the
# design size and twice that.
SIZES = ((10, 9), (825, 160), (3300, 640), (6600, 1280))
REPEATS = 7
CHANGES = 40


def make_document(
    workspaces: int, upstreams: int, step: int
) -> documents.Document:
    """Make a valid document.

    Args:
        workspaces, upstreams: number of entries.
        step: documents of different steps differ in one workspace.
    """
    return documents.Document(
        ranks=(
            documents.Rank("urgent", 1600, 4, 0.5),
            documents.Rank("deferrable", 60_000),
        ),
        workspaces=tuple(
            documents.Workspace(
                name=f"workspace-{number}",
                token_digests=(documents.token_digest(f"token {number}"),),
                rank="urgent" if number % 2 else "deferrable",
                tokens_per_s=(
                    1000 + step if number == step % workspaces else 1000
                ),
            )
            for number in range(workspaces)
        ),
        models=tuple(
            documents.Model(f"model-{number}", "v1") for number in range(4)
        ),
        upstreams=tuple(
            documents.Upstream(
                name=f"upstream-{number}",
                agent=f"10.1.{number // 250}.{number % 250 + 1}:8000",
                zone=f"zone-{number % 8}",
                serves=f"model-{number % 4}",
            )
            for number in range(upstreams)
        ),
    )


def _cpu_ms(action) -> float:
    times = []
    for _ in range(REPEATS):
        start = time.process_time()
        action()
        times.append(time.process_time() - start)
    return round(sorted(times)[REPEATS // 2] * 1000, 3)


def _lengthen(state: configurations.Snapshot) -> configurations.Snapshot:
    """Returns: the state with full history and outcomes, by repetition."""
    history = [
        msgspec.structs.replace(
            state.history[1 + number % (CHANGES - 1)], version=number + 1
        )
        for number in range(configurations.MAX_HISTORY)
    ]
    outcomes = [
        msgspec.structs.replace(
            state.outcomes[number % CHANGES], request_id=f"request-{number}"
        )
        for number in range(configurations.MAX_OUTCOMES)
    ]
    return configurations.Snapshot(
        version=len(history),
        document=state.document,
        history=tuple(history),
        outcomes=tuple(outcomes),
    )


def measure(workspaces: int, upstreams: int) -> dict:
    """Returns: bytes and CPU milliseconds (median) at one size."""
    encoded = [
        documents.encode(make_document(workspaces, upstreams, step))
        for step in range(20)
    ]
    made = configurations.make_configuration()
    applied = []
    for version in range(CHANGES):
        command = configurations.ApplyDocument(
            f"request-{version}",
            version,
            encoded[version % len(encoded)],
            "operator",
            version,
        )
        start = time.process_time()
        outcome = made.apply(command)
        applied.append(time.process_time() - start)
        if not isinstance(outcome, configurations.Accepted):
            raise RuntimeError(f"not accepted: {outcome}")
    made.restore(_lengthen(made.snapshot()))
    old = documents.decode(encoded[-2])
    new = documents.decode(encoded[-1])
    delta = changes.make_delta(old, new)
    snapshot = msgspec.msgpack.encode(made.snapshot())

    combined = []
    for _ in range(REPEATS):
        made.restore(made.snapshot())
        start = time.process_time()
        combined_delta = made.delta_since(made.version - 999)
        combined.append(time.process_time() - start)
    return {
        "workspaces": workspaces,
        "upstreams": upstreams,
        "document_bytes": len(encoded[-1]),
        "delta_bytes": len(delta),
        "combined_delta_bytes": len(combined_delta),
        "snapshot_bytes": len(snapshot),
        "validate_ms": _cpu_ms(lambda: validation.validate(encoded[-1])),
        "apply_ms": round(sorted(applied)[CHANGES // 2] * 1000, 3),
        "make_delta_ms": _cpu_ms(lambda: changes.make_delta(old, new)),
        "apply_delta_ms": _cpu_ms(lambda: changes.apply_delta(old, delta)),
        "digest_ms": _cpu_ms(lambda: documents.digest(new)),
        "combine_999_deltas_ms": round(
            sorted(combined)[REPEATS // 2] * 1000, 3
        ),
        "snapshot_ms": _cpu_ms(
            lambda: msgspec.msgpack.encode(made.snapshot())
        ),
        "restore_ms": _cpu_ms(
            lambda: configurations.make_configuration(
                msgspec.msgpack.decode(snapshot, type=configurations.Snapshot)
            )
        ),
    }


def main() -> None:
    """Print one JSON object for each size."""
    for workspaces, upstreams in SIZES:
        json.dump(measure(workspaces, upstreams), sys.stdout)
        print(flush=True)


if __name__ == "__main__":
    main()
