"""Measures how memory, processor time and bytes grow with the load.

docs/CAPACITY.md uses the slopes. Run a part by name; each part prints one
JSON object. Parts that measure memory start one process for each size, since
the next size would otherwise reuse memory that the previous one freed.
"""

import argparse
import gc
import hashlib
import json
import os
import random
import subprocess
import sys
import tempfile
import time

import msgspec

# Workspaces and upstreams of a document: the present deployment, a quarter of
# the design size, and the design size.
DOCUMENT_SIZES = ((10, 9), (825, 160), (3300, 640))
LEDGER_RECORDS = (0, 20_000, 50_000, 100_000)
PIECE_COUNTS = (0, 25_000, 50_000, 100_000)
# Records of the ledger. 600,000 is one protected call a second over the
# default retention of 7 days.
STALL_RECORDS = (100_000, 600_000)
STALL_PROPOSALS_PER_S = 900
STALL_RUN_S = 15.0
# Parts of a snapshot; the last is the whole snapshot of 600,000 records.
DELIVERY_BYTES = (550_000, 16_000_000, 128_000_000, 333_000_000)
WATCHED_UPSTREAMS = 24
MODEL_COUNT = 4
CHILD_TIMEOUT_S = 100
REPEATS = 15
# Size of the answer to a price confirmation. The agent keeps answers of up to
# 65,536 bytes.
ANSWER_BYTES = 300


def make_document(workspaces: int, upstreams: int, step: int):
    """Returns: a document made by bench.configuration."""
    # Imported here, so that its modules do not count as memory of a child
    # process that makes no document.
    from bench import configuration

    return configuration.make_document(workspaces, upstreams, step)


def memory_kb(pid: int | str = "self") -> dict[str, int]:
    """Returns: resident memory in KB by field of /proc/PID/status."""
    memory = {}
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            name, _, value = line.partition(":")
            if name in ("RssAnon", "VmRSS", "VmHWM"):
                memory[name] = int(value.split()[0])
    return memory


def cpu_s(pid: int) -> float:
    """Returns: processor seconds of a process since its start."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Returns: least-squares slope and intercept of (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / square_sum
    return {
        "slope": float(f"{slope:.4g}"),
        "intercept": float(f"{mean_y - slope * mean_x:.4g}"),
    }


def cpu_ms(action, repeats: int = REPEATS, calls_per_sample: int = 1) -> float:
    """Returns: median processor time of a call in milliseconds.

    Args:
        repeats: number of samples.
        calls_per_sample: calls over which one sample is averaged.
    """
    times = []
    for _ in range(repeats):
        start = time.process_time()
        for _ in range(calls_per_sample):
            action()
        times.append((time.process_time() - start) / calls_per_sample)
    return float(f"{sorted(times)[repeats // 2] * 1000:.4g}")


def make_report(upstream: str, sequence: int = 1):
    """Returns: a load report like that of a busy agent."""
    from papayalink.protocol import messages

    return messages.LoadReport(
        upstream=upstream,
        weight_version="v1",
        waiting=(3, 12),
        waiting_tokens=(5_400, 31_000),
        free_slots=(2, 1),
        start_periods_ms=(52, 207),
        loads_permille=(612, 321),
        prefill_rate=8123,
        sequence=sequence,
        age_ms=734,
    )


def run_child(part: str, *arguments: object) -> dict:
    """Run one measurement in a separate process.

    Returns: the JSON object that it prints.
    """
    command = [sys.executable, "-m", "bench.slopes", "child", part]
    completed = subprocess.run(
        command + [str(argument) for argument in arguments],
        stdout=subprocess.PIPE,
        timeout=CHILD_TIMEOUT_S,
        check=True,
    )
    # The measured code may log; the result is the last line.
    return json.loads(completed.stdout.splitlines()[-1])


def _rss_kb() -> int:
    gc.collect()
    return memory_kb()["RssAnon"]


class _Documents(msgspec.Struct):
    """Documents for a child process, which reads them from a file.

    Making them in the child would count as its memory.

    Attributes:
        upstreams: number of upstreams of each document.
        first: encoded first document.
        deltas: delta from the first to the second document, and the reverse.
        digests: digests of the first and of the second document.
    """

    upstreams: int
    first: bytes
    deltas: tuple[bytes, bytes]
    digests: tuple[str, str]


def _write_documents(path: str, size: tuple[int, int]) -> None:
    from papayalink.state import changes
    from papayalink.state import document as documents

    pair = [make_document(*size, step) for step in range(2)]
    content = _Documents(
        size[1],
        documents.encode(pair[0]),
        (
            changes.make_delta(pair[0], pair[1]),
            changes.make_delta(pair[1], pair[0]),
        ),
        (documents.digest(pair[0]), documents.digest(pair[1])),
    )
    with open(path, "wb") as file:
        file.write(msgspec.msgpack.encode(content))


def child_control_part(path: str) -> dict:
    """Measure the memory that an entry needs for the work with control.

    The baseline is an interpreter that has imported gevent, msgspec and
    structlog and has set up logging, as every daemon does. What is imported
    and held after that serves the work with control only.
    """
    import gevent  # noqa: F401
    from gevent import queue  # noqa: F401

    from papayalink import logs

    logs.configure("slopes", "entry")
    memory_by_stage_kb = {"interpreter": _rss_kb()}
    from papayalink import clock as clocks
    from papayalink import timers
    from papayalink.coordination import configuration_poller  # noqa: F401
    from papayalink.coordination import selection as selections
    from papayalink.state import held_configuration
    from papayalink.transport import auth
    from papayalink.transport import rpc

    memory_by_stage_kb["modules"] = _rss_kb()
    clock = clocks.make_clock()
    timer_service = timers.make_timer_service(clock)
    rpc.make_client(auth.make_signer(b"k" * 32, clock))
    selection = selections.make_selection("entry-1", "zone-1")
    memory_by_stage_kb["idle"] = _rss_kb()
    baseline_kb = _rss_kb()
    with open(path, "rb") as file:
        inputs = msgspec.msgpack.decode(file.read(), type=_Documents)
    upstreams = inputs.upstreams
    held = held_configuration.make_held_configuration()
    held.update(1, inputs.first, b"", inputs.digests[0])
    # Freed here as an entry frees the poll reply that carried the document.
    inputs.first = b""
    reports = [
        make_report(f"upstream-{number}") for number in range(upstreams)
    ]
    selection.update(held.document, (), reports[:96], clock.now())
    memory_by_stage_kb["document"] = (
        memory_by_stage_kb["idle"] + _rss_kb() - baseline_kb
    )
    for step in range(40):
        held.update(
            2 + step,
            b"",
            inputs.deltas[step % 2],
            inputs.digests[(step + 1) % 2],
        )
        selection.update(held.document, (), reports[:96], clock.now())
    memory_by_stage_kb["after_40_changes"] = (
        memory_by_stage_kb["idle"] + _rss_kb() - baseline_kb
    )
    memory_by_stage_kb["peak_rss"] = memory_kb()["VmHWM"]
    timer_service.stop()
    return memory_by_stage_kb


def _apply_finished_calls(machine, count: int) -> None:
    """Apply to a state machine the commands of finished protected calls."""
    from papayalink.protocol import relay
    from papayalink.state import ledger
    from papayalink.state import machine as machines

    answer = relay.encode(
        relay.Answered(200, "application/json", b"x" * ANSWER_BYTES)
    )
    body_digest = hashlib.sha256(b"body").hexdigest()
    for number in range(count):
        workspace_and_key = (
            f"workspace-{number % 3300}",
            f"confirm-{number:032x}",
        )
        claim_id = f"claim-{number:032x}"
        at_s = 1_790_000_000.0 + number
        commands = (
            ledger.Claim(
                *workspace_and_key, body_digest + str(number), claim_id, at_s
            ),
            ledger.Start(
                *workspace_and_key, claim_id, f"agent/{number:032x}", at_s
            ),
            ledger.Finish(*workspace_and_key, claim_id, 200, answer, at_s),
        )
        for command in commands:
            # Applied in encoded form, as from the log, so that records share
            # no strings.
            machine.apply(number, machines.encode_command(command))


def child_ledger(count: str) -> dict:
    """Measure a state machine that holds records of finished calls."""
    from papayalink.state import ledger
    from papayalink.state import machine as machines

    machine = machines.make_machine()
    baseline_kb = _rss_kb()
    start = time.process_time()
    _apply_finished_calls(machine, int(count))
    fill_s = time.process_time() - start
    held_kb = _rss_kb() - baseline_kb
    start = time.process_time()
    snapshot = list(machine.snapshot())
    snapshot_s = time.process_time() - start
    restored = machines.make_machine()
    start = time.process_time()
    restored.restore(snapshot)
    restore_s = time.process_time() - start
    start = time.process_time()
    restored.ledger.apply(ledger.Expire(2e9, 5000))
    expire_s = time.process_time() - start
    return {
        "records": int(count),
        "expire_5000_ms": round(expire_s * 1000, 2),
        "held_kb": held_kb,
        "call_us": round(fill_s / max(1, int(count)) * 1e6, 2),
        "snapshot_bytes": sum(map(len, snapshot)),
        "snapshot_ms": round(snapshot_s * 1000, 2),
        "restore_ms": round(restore_s * 1000, 2),
    }


def child_stalls(count: str) -> dict:
    """Measure how long the snapshots of one member stall its process.

    The state machine is filled directly, not through the log, so that the
    first snapshot is due early and covers the whole ledger.
    """
    import gevent

    from papayalink import clock as clocks
    from papayalink import timers
    from papayalink.coordination import replica as replicas
    from papayalink.coordination.raft import membership
    from papayalink.state import ledger
    from papayalink.state import log_store
    from papayalink.state import machine as machines

    gaps = []
    latencies_s = []
    collections_s = [0.0]

    def time_collection(phase, info):
        if phase == "start":
            collections_s.append(-time.perf_counter())
        else:
            collections_s[-1] += time.perf_counter()

    def record_gaps():
        while True:
            started_at = time.perf_counter()
            cpu_before_s = time.thread_time()
            gevent.sleep(0.001)
            gap_s = time.perf_counter() - started_at
            gaps.append(
                (gap_s, time.thread_time() - cpu_before_s, started_at - start)
            )

    def propose(number):
        claim = ledger.Claim("w", f"key-{number:032x}", "d", "c", 1.8e9)
        start = time.perf_counter()
        replica.propose(machines.encode_command(claim), 60.0)
        latencies_s.append(time.perf_counter() - start)

    machine = machines.make_machine()
    with tempfile.TemporaryDirectory() as folder:
        replica = replicas.make_replica(
            replicas.Settings(member_id="a", seed=1),
            log_store.make_disk_log_store(folder),
            machine,
            timers.make_timer_service(clocks.make_clock()),
            lambda *_: None,
            membership.make_membership("a"),
        )
        _apply_finished_calls(machine, int(count))
        while not replica.is_leader:
            gevent.sleep(0.01)
        snapshot_indexes = set()
        start = time.perf_counter()
        gap_recorder = gevent.spawn(record_gaps)
        gc.callbacks.append(time_collection)
        used_cpu_s = time.process_time()
        sent = 0
        while (elapsed_s := time.perf_counter() - start) < STALL_RUN_S:
            while sent < elapsed_s * STALL_PROPOSALS_PER_S:
                gevent.spawn(propose, sent)
                sent += 1
            snapshot_indexes.add(replica.status()["snapshot_index"])
            gevent.sleep(0.002)
        while len(latencies_s) < sent:
            gevent.sleep(0.01)
        used_cpu_s = time.process_time() - used_cpu_s
        elapsed_s = time.perf_counter() - start
        gap_recorder.kill()
        replica.stop()
    latencies_s.sort()
    return {
        "records": int(count),
        "snapshots": len(snapshot_indexes) - 1,
        "longest_gaps": [
            {
                "gap_ms": round(gap_s * 1000, 1),
                "of_it_cpu_ms": round(cpu_s * 1000, 1),
                "at_s": round(at_s, 2),
            }
            for gap_s, cpu_s, at_s in sorted(gaps, reverse=True)[:5]
        ],
        "longest_collection_ms": round(max(collections_s) * 1000, 1),
        "gaps_over_50_ms": sum(gap_s > 0.05 for gap_s, _, _ in gaps),
        "proposals_per_s": round(sent / elapsed_s),
        "propose_p50_ms": round(latencies_s[len(latencies_s) // 2] * 1000, 1),
        "propose_p95_ms": round(
            latencies_s[-len(latencies_s) // 20] * 1000, 1
        ),
        "cores": round(used_cpu_s / elapsed_s, 2),
        "peak_mb": memory_kb()["VmHWM"] // 1024,
    }


def child_control_document(workspaces: str, upstreams: str) -> dict:
    """Measure a state machine after 41 changes of a document."""
    from papayalink.state import configuration
    from papayalink.state import document as documents
    from papayalink.state import machine as machines

    size = (int(workspaces), int(upstreams))
    encoded = [
        documents.encode(make_document(*size, step)) for step in range(8)
    ]
    machine = machines.make_machine()
    baseline_kb = _rss_kb()
    held_kb = []
    for version in range(41):
        command = configuration.ApplyDocument(
            f"request-{version}",
            version,
            encoded[version % 8],
            "operator",
            version,
        )
        machine.apply(version + 1, machines.encode_command(command))
        if version in (0, 20, 40):
            held_kb.append(_rss_kb() - baseline_kb)
    return {
        "workspaces": size[0],
        "upstreams": size[1],
        "held_kb_after_1_21_41_changes": held_kb,
        "snapshot_bytes": sum(map(len, machine.snapshot())),
    }


def child_pieces(count: str) -> dict:
    """Measure the index of a disk store that writes no files."""
    from papayalink import clock as clocks
    from papayalink.coordination import retention
    from papayalink.protocol import pieces
    from papayalink.state import disk_piece_store
    from papayalink.state import piece_store
    from papayalink.state import tiered_piece_store

    class NoFiles(disk_piece_store.Files):
        __slots__ = ()

        def write(self, path, parts):
            pass

        def rename(self, source, target):
            pass

        def sync_folder(self, folder):
            pass

    rng = random.Random(1)
    clock = clocks.make_clock()
    policy = retention.ReturnPolicy()
    piece_bytes = b"p" * 100
    with tempfile.TemporaryDirectory() as folder:
        disk = disk_piece_store.DiskPieceStore(folder, 10**12, files=NoFiles())
        store = tiered_piece_store.TieredPieceStore(
            piece_store.MemoryPieceStore(0), disk, policy, clock
        )
        baseline_kb = _rss_kb()
        start = time.process_time()
        stored = 0
        while stored < int(count):
            # A prompt has seven pieces of 2,000 tokens.
            prompt = [
                pieces.PieceKey(
                    f"workspace-{stored % 3300}",
                    "counter-1/2026-11",
                    f"{rng.getrandbits(128):032x}",
                )
                for _ in range(7)
            ]
            policy.record_request(prompt, clock.now())
            for key, facts in zip(prompt, retention.make_facts(prompt)):
                value = policy.value(key, facts, 100, clock.now())
                disk.admit(key, piece_bytes, value, facts)
            stored += 7
        put_s = time.process_time() - start
        held_kb = _rss_kb() - baseline_kb
        start = time.process_time()
        store.revalue()
        revalue_s = time.process_time() - start
    return {
        "pieces": stored,
        "held_kb": held_kb,
        "put_us": round(put_s / max(1, stored) * 1e6, 2),
        "revalue_ms": round(revalue_s * 1000, 2),
    }


def measure_control_part() -> dict:
    """Memory of an entry for the work with control, by document size."""
    runs = []
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "documents")
        for size in DOCUMENT_SIZES:
            _write_documents(path, size)
            runs.append(
                {"workspaces": size[0], "upstreams": size[1]}
                | run_child("control_part", path)
            )
    return {
        "runs_kb": runs,
        "by_workspace_kb": fit(
            [
                (run["workspaces"], run["after_40_changes"] - run["idle"])
                for run in runs
            ]
        ),
    }


def measure_machine() -> dict:
    """Memory of the state machine of a control member."""
    ledger_runs = [run_child("ledger", size) for size in LEDGER_RECORDS]
    document_runs = [
        run_child("control_document", *size) for size in DOCUMENT_SIZES
    ]
    return {
        "ledger": ledger_runs,
        "by_record": {
            name: fit([(run["records"], run[name]) for run in ledger_runs])
            for name in (
                "held_kb",
                "snapshot_bytes",
                "snapshot_ms",
                "restore_ms",
            )
        },
        "document": document_runs,
        "by_workspace_kb": fit(
            [
                (run["workspaces"], run["held_kb_after_1_21_41_changes"][-1])
                for run in document_runs
            ]
        ),
    }


def measure_stalls() -> dict:
    """Stalls of a member that takes snapshots while it gets proposals."""
    return {"runs": [run_child("stalls", size) for size in STALL_RECORDS]}


def measure_deliveries() -> dict:
    """Duration of calls that carry part of a ledger snapshot, by size.

    Sender and receiver share one process here, unlike two members on two
    VMs.
    """
    from papayalink import clock as clocks
    from papayalink.coordination.raft import membership
    from papayalink.coordination.raft import messages as raft_messages
    from papayalink.protocol import messages
    from papayalink.roles.control import peers
    from papayalink.state import machine as machines
    from papayalink.transport import auth
    from papayalink.transport import errors
    from papayalink.transport import rpc

    machine = machines.make_machine()
    _apply_finished_calls(machine, 20_000)
    snapshot = b"".join(machine.snapshot())
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())

    def receive(message):
        raft_messages.decode(message.batch)
        return messages.Acknowledge()

    server = rpc.make_server(("127.0.0.1", 0), {"Deliver": receive}, signer)
    server.start()
    address = "%s:%s" % server.address
    client = rpc.make_client(signer)
    snapshot_head = raft_messages.Snapshot(
        1, 1, membership.make_membership("a"), ()
    )

    def deliver(size: int) -> tuple[float, str]:
        data = (snapshot * (size // len(snapshot) + 1))[:size]
        start = time.perf_counter()
        part = raft_messages.InstallSnapshot(
            "a", "b", 1, snapshot_head, 0, 1, data
        )
        message = messages.Deliver("a", raft_messages.encode([part]))
        try:
            client.call(address, "Deliver", message, peers.DELIVER_TIMEOUT_S)
        except errors.TransportError as error:
            return time.perf_counter() - start, type(error).__name__
        return time.perf_counter() - start, "delivered"

    deliver(1)
    runs = []
    for size in DELIVERY_BYTES:
        outcomes = sorted(deliver(size) for _ in range(5))
        runs.append(
            {
                "bytes": size,
                "ms": round(outcomes[2][0] * 1000, 1),
                "results": sorted({result for _, result in outcomes}),
            }
        )
    return {"runs": runs}


def measure_pieces() -> dict:
    """Memory of a store's index."""
    runs = [run_child("pieces", size) for size in PIECE_COUNTS]
    return {
        "runs": runs,
        "by_piece": {
            name: fit([(run["pieces"], run[name]) for run in runs])
            for name in ("held_kb", "revalue_ms")
        },
    }


def measure_document() -> dict:
    """Processor time of one change in a process that holds the document."""
    from papayalink.coordination import selection as selections
    from papayalink.state import changes
    from papayalink.state import document as documents
    from papayalink.state import held_configuration

    runs = []
    for size in DOCUMENT_SIZES:
        old = make_document(*size, 0)
        new = make_document(*size, 1)
        encoded = documents.encode(new)
        delta = changes.make_delta(old, new)
        digest = documents.digest(new)
        base = documents.encode(old)
        base_digest = documents.digest(old)

        def time_update(update, base=base, new=new, base_digest=base_digest):
            held = held_configuration.make_held_configuration()
            held.update(1, base, b"", base_digest)
            start = time.process_time()
            held.update(2, *update)
            return time.process_time() - start

        by_delta = sorted(
            time_update((b"", delta, digest)) for _ in range(REPEATS)
        )
        selection = selections.make_selection("entry-1", "zone-1")
        alternatives = [documents.decode(base), documents.decode(encoded)]
        turns = [0]

        def switch_document(
            selection=selection, alternatives=alternatives, turns=turns
        ):
            turns[0] += 1
            selection.update(alternatives[turns[0] % 2], (), (), 1.0)

        runs.append(
            {
                "workspaces": size[0],
                "upstreams": size[1],
                "document_bytes": len(encoded),
                "delta_bytes": len(delta),
                "decode_ms": cpu_ms(lambda: documents.decode(encoded)),
                "digest_ms": cpu_ms(lambda: documents.digest(new)),
                "apply_delta_ms": cpu_ms(
                    lambda: changes.apply_delta(old, delta)
                ),
                "held_update_by_delta_ms": round(
                    by_delta[REPEATS // 2] * 1000, 3
                ),
                "selection_new_document_ms": cpu_ms(switch_document),
            }
        )
    names = (
        "decode_ms",
        "digest_ms",
        "apply_delta_ms",
        "held_update_by_delta_ms",
    )
    return {
        "runs": runs,
        "by_workspace": {
            name: fit([(run["workspaces"], run[name]) for run in runs])
            for name in names
        },
        "selection_new_document_by_upstream": fit(
            [
                (run["upstreams"], run["selection_new_document_ms"])
                for run in runs
            ]
        ),
    }


def measure_selection() -> dict:
    """Processor time of choosing an upstream and of taking poll reports."""
    from papayalink.coordination import selection as selections

    runs = []
    for upstreams in (16, 48, 96, 320, 640):
        document = make_document(10, upstreams, 0)
        selection = selections.make_selection(
            "entry-1", "zone-1", random.Random(1)
        )
        selection.update(document, (), (), 0.0)
        watched = selection.watched
        clock = [1.0]

        def update(selection=selection, watched=watched, clock=clock):
            clock[0] += 1.0
            reports = [make_report(name, int(clock[0])) for name in watched]
            start = time.process_time()
            selection.update(document, (), reports, clock[0])
            return time.process_time() - start

        updates = sorted(update() for _ in range(REPEATS))

        number = [0]

        def choose(selection=selection, clock=clock, number=number):
            number[0] += 1
            wanted = selections.SelectionRequest(
                f"request-{number[0]}",
                "workspace-1",
                "model-0",
                f"family-{number[0] % 500}",
                0,
                2000,
                1.6,
            )
            choice = selection.choose(wanted, frozenset(), clock[0])
            selection.answered(wanted, choice.upstream.name, 0.2, clock[0])

        runs.append(
            {
                "upstreams": upstreams,
                "watched": len(watched),
                "candidates": len(watched) // MODEL_COUNT,
                "choose_ms": cpu_ms(choose, calls_per_sample=40),
                "update_ms": round(updates[REPEATS // 2] * 1000, 4),
            }
        )
    return {
        "runs": runs,
        "choose_by_candidate": fit(
            [(run["candidates"], run["choose_ms"]) for run in runs]
        ),
        "update_by_watched": fit(
            [(run["watched"], run["update_ms"]) for run in runs]
        ),
    }


class WireByteCounter:
    """Counts the bytes of calls with a TCP proxy between client and server."""

    __slots__ = ("_counts", "_reply", "_client", "_address")

    def __init__(self) -> None:
        from gevent import server as servers

        from papayalink import clock as clocks
        from papayalink.transport import auth
        from papayalink.transport import rpc

        self._counts = [0, 0]
        self._reply = None
        signer = auth.make_signer(b"k" * 32, clocks.make_clock())
        server = rpc.make_server(
            ("127.0.0.1", 0), {"Poll": lambda poll: self._reply}, signer
        )
        server.start()
        target = server.address

        def forward(client_socket, _):
            import gevent
            from gevent import socket

            server_socket = socket.create_connection(target)
            copies = [
                gevent.spawn(self._copy, client_socket, server_socket, 0),
                gevent.spawn(self._copy, server_socket, client_socket, 1),
            ]
            gevent.joinall(copies)

        proxy = servers.StreamServer(("127.0.0.1", 0), forward)
        proxy.start()
        self._address = f"127.0.0.1:{proxy.server_port}"
        self._client = rpc.make_client(signer)

    def measure(self, request, reply, calls: int = 20) -> list[float]:
        """Returns: mean bytes of a request and of a reply on the wire."""
        self._reply = reply
        for _ in range(3):
            self._client.call(self._address, "Poll", request)
        self._counts[:] = [0, 0]
        for _ in range(calls):
            self._client.call(self._address, "Poll", request)
        return [count / calls for count in self._counts]

    def _copy(self, source, target, direction: int) -> None:
        while data := source.recv(65_536):
            self._counts[direction] += len(data)
            target.sendall(data)


def measure_bytes() -> dict:
    """Bytes of polls: of the encoded messages and of the TCP stream.

    A proxy on loopback counts the stream, on a connection that is already
    open. TCP and IP headers are not included.
    """
    from papayalink.protocol import messages
    from papayalink.state import changes
    from papayalink.state import document as documents

    old = make_document(*DOCUMENT_SIZES[-1], 0)
    new = make_document(*DOCUMENT_SIZES[-1], 1)
    identity = ("entry-korangi-001", "entry", "0123456789ab")
    digest = documents.digest(new)
    runs = []
    wire = WireByteCounter()
    for watched in (0, 24, 48, 96):
        names = tuple(f"upstream-{number:03}" for number in range(watched))
        poll = messages.Poll(*identity, 700, digest, watch=names)
        reply = messages.PollReply(
            700,
            digest=digest,
            loads=tuple(make_report(name, 86_400) for name in names),
        )
        delta = msgspec.structs.replace(
            reply, delta=changes.make_delta(old, new)
        )
        runs.append(
            {
                "watched": watched,
                "poll": len(messages.encode(poll)),
                "reply": len(messages.encode(reply)),
                "reply_with_change": len(messages.encode(delta)),
                "wire": wire.measure(poll, reply),
                "wire_with_change": wire.measure(poll, delta),
            }
        )
    agent = messages.Poll(
        "agent-upstream-001",
        "agent",
        "0123456789ab",
        700,
        digest,
        make_report("upstream-001", 86_400),
    )
    demand_sizes = []
    for count in (0, 10, 100, 3300):
        demands = tuple(
            messages.Demand(f"workspace-{number}", 412.53, 3)
            for number in range(count)
        )
        demand_sizes.append((count, len(msgspec.msgpack.encode(demands))))
    return {
        "entry": runs,
        "by_watched": {
            name: fit([(run["watched"], run[name]) for run in runs])
            for name in ("poll", "reply", "reply_with_change")
        },
        "agent_poll": len(messages.encode(agent)),
        "agent_wire": wire.measure(
            agent, messages.PollReply(700, digest=digest, fence=9)
        ),
        "agent_reply": len(
            messages.encode(messages.PollReply(700, digest=digest, fence=9))
        ),
        "demand_or_share_bytes": demand_sizes,
        "by_demand": fit(demand_sizes),
        "whole_document": len(documents.encode(new)),
    }


def _reported_workspaces() -> list[dict]:
    """Returns: workspaces in the demand of an entry after 60 s of requests.

    At the design size, 360 entries share 3,400 requests a second. The higher
    the Zipf exponent, the more of them come from a few large workspaces.
    """
    from papayalink.coordination import limits

    runs = []
    for requests_per_s in (2.0, 3400 / 360, 20.0):
        for exponent in (0.0, 1.0):
            rng = random.Random(1)
            weights = [(index + 1) ** -exponent for index in range(3300)]
            meter = limits.DemandMeter()
            now = 0.0
            counts = []
            while now < 60.0:
                now += rng.expovariate(requests_per_s)
                workspace = rng.choices(range(3300), weights)[0]
                meter.note(f"workspace-{workspace}", 2_400, now)
                if now > 30.0 and len(counts) < int(now - 30.0):
                    counts.append(len(meter.report(now)))
            runs.append(
                {
                    "requests_per_s": round(requests_per_s, 2),
                    "zipf_exponent": exponent,
                    "workspaces": sum(counts) / len(counts),
                }
            )
    return runs


def measure_demand() -> dict:
    """Processor time of computing the limit shares for one poll."""
    from papayalink import clock as clocks
    from papayalink.protocol import messages
    from papayalink.roles.control import demands
    from papayalink.state import document as documents

    runs = []
    for workspaces in (10, 50, 200):
        document = documents.Document(
            workspaces=tuple(
                documents.Workspace(
                    f"workspace-{number}", tokens_per_s=1000, max_in_flight=9
                )
                for number in range(3300)
            )
        )
        for entries in (10, 90, 360):
            clock = clocks.ManualClock()
            table = demands.make_demand_table(clock)
            rng = random.Random(1)
            for entry in range(entries):
                reported = rng.sample(range(3300), workspaces)
                table.merge(
                    f"entry-{entry}",
                    [
                        messages.Demand(f"workspace-{number}", 412.5, 3)
                        for number in reported
                    ],
                )
            runs.append(
                {
                    "entries": entries,
                    "workspaces_of_an_entry": workspaces,
                    "shares_ms": cpu_ms(
                        lambda: table.shares("entry-0", document), 5
                    ),
                }
            )
    return {
        "reported_workspaces": _reported_workspaces(),
        "runs": runs,
        "ms_by_entries_times_workspaces": fit(
            [
                (
                    run["entries"] * run["workspaces_of_an_entry"],
                    run["shares_ms"],
                )
                for run in runs
            ]
        ),
    }


PARTS = {
    "demand": measure_demand,
    "control_part": measure_control_part,
    "machine": measure_machine,
    "stalls": measure_stalls,
    "deliveries": measure_deliveries,
    "pieces": measure_pieces,
    "document": measure_document,
    "selection": measure_selection,
    "bytes": measure_bytes,
}
CHILDREN = {
    "control_part": child_control_part,
    "ledger": child_ledger,
    "stalls": child_stalls,
    "control_document": child_control_document,
    "pieces": child_pieces,
}


def main() -> None:
    """Print a JSON object for each part that is named."""
    if sys.argv[1:2] == ["child"]:
        print(json.dumps(CHILDREN[sys.argv[2]](*sys.argv[3:])))
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS], default=[*PARTS])
    for part in parser.parse_args().parts:
        print(json.dumps({part: PARTS[part]()}, indent=1), flush=True)


if __name__ == "__main__":
    main()
