"""Measures size and processor time of documents, deltas and snapshots."""

import json
import sys
import time

import msgspec

from papayalink.state import changes
from papayalink.state import configuration as configurations
from papayalink.state import document as documents
from papayalink.state import validation

# Workspaces and upstreams of a document: the present deployment, a quarter of
# the design size, the design size and twice the design size.
SIZES = ((10, 9), (825, 160), (3300, 640), (6600, 1280))
REPEATS = 7
CHANGE_COUNT = 40


def make_document(
    workspaces: int, upstreams: int, step: int
) -> documents.Document:
    """Make a valid document.

    Args:
        workspaces, upstreams: number of workspaces and of upstreams.
        step: number of the document in a series; the step selects one
            workspace, whose tokens_per_s depends on it.
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


def _fill_history(state: configurations.Snapshot) -> configurations.Snapshot:
    """Returns: the state with history and outcomes repeated to full length."""
    history = [
        msgspec.structs.replace(
            state.history[1 + number % (CHANGE_COUNT - 1)], version=number + 1
        )
        for number in range(configurations.MAX_HISTORY)
    ]
    outcomes = [
        msgspec.structs.replace(
            state.outcomes[number % CHANGE_COUNT],
            request_id=f"request-{number}",
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
    """Returns: bytes and median processor milliseconds at one size."""
    encoded = [
        documents.encode(make_document(workspaces, upstreams, step))
        for step in range(20)
    ]
    configuration = configurations.make_configuration()
    apply_times_s = []
    for version in range(CHANGE_COUNT):
        command = configurations.ApplyDocument(
            f"request-{version}",
            version,
            encoded[version % len(encoded)],
            "operator",
            version,
        )
        start = time.process_time()
        outcome = configuration.apply(command)
        apply_times_s.append(time.process_time() - start)
        if not isinstance(outcome, configurations.Accepted):
            raise RuntimeError(f"not accepted: {outcome}")
    configuration.restore(_fill_history(configuration.snapshot()))
    old = documents.decode(encoded[-2])
    new = documents.decode(encoded[-1])
    delta = changes.make_delta(old, new)
    snapshot = msgspec.msgpack.encode(configuration.snapshot())

    combine_times_s = []
    for _ in range(REPEATS):
        configuration.restore(configuration.snapshot())
        start = time.process_time()
        combined_delta = configuration.delta_since(configuration.version - 999)
        combine_times_s.append(time.process_time() - start)
    return {
        "workspaces": workspaces,
        "upstreams": upstreams,
        "document_bytes": len(encoded[-1]),
        "delta_bytes": len(delta),
        "combined_delta_bytes": len(combined_delta),
        "snapshot_bytes": len(snapshot),
        "validate_ms": _cpu_ms(lambda: validation.validate(encoded[-1])),
        "apply_ms": round(sorted(apply_times_s)[CHANGE_COUNT // 2] * 1000, 3),
        "make_delta_ms": _cpu_ms(lambda: changes.make_delta(old, new)),
        "apply_delta_ms": _cpu_ms(lambda: changes.apply_delta(old, delta)),
        "digest_ms": _cpu_ms(lambda: documents.digest(new)),
        "combine_999_deltas_ms": round(
            sorted(combine_times_s)[REPEATS // 2] * 1000, 3
        ),
        "snapshot_ms": _cpu_ms(
            lambda: msgspec.msgpack.encode(configuration.snapshot())
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
