"""Slopes of memory, processor time and bytes that docs/CAPACITY.md uses.

Run a part by name; each prints one JSON object. Parts that measure memory
start one process for each size, since freed memory would otherwise be used
again by the next size.
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

# Workspaces and upstreams: today, a quarter of the design size, the design
# size.
SIZES = ((10, 9), (825, 160), (3300, 640))
LEDGER_SIZES = (0, 20_000, 50_000, 100_000)
PIECE_SIZES = (0, 25_000, 50_000, 100_000)
# The last is one protected call a second, kept for the default 7 days.
STALL_SIZES = (100_000, 600_000)
STALL_PROPOSALS_PER_S = 900
STALL_RUN_S = 15.0
# A part of a snapshot, and at last the whole one of 600,000 records.
DELIVERY_BYTES = (550_000, 16_000_000, 128_000_000, 333_000_000)
WATCHED = 24
MODELS = 4
CHILD_TIMEOUT_S = 100
REPEATS = 15
# Small answers of a price confirmation; the agent keeps up to 65,536 bytes.
ANSWER_BYTES = 300


def make_document(workspaces: int, upstreams: int, step: int):
    """Returns: a document as bench.configuration makes it."""
    # Imported here, as children must not hold what it imports.
    from bench import configuration

    return configuration.make_document(workspaces, upstreams, step)


def memory_kb(pid: int | str = "self") -> dict[str, int]:
    """Returns: resident memory of a process in KB."""
    found = {}
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            name, _, rest = line.partition(":")
            if name in ("RssAnon", "VmRSS", "VmHWM"):
                found[name] = int(rest.split()[0])
    return found


def cpu_s(pid: int) -> float:
    """Returns: processor time of a process since its start."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def fit(points: list[tuple[float, float]]) -> dict[str, float]:
    """Returns: least-squares slope and intercept of (x, y) points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return {
        "slope": float(f"{slope:.4g}"),
        "intercept": float(f"{mean_y - slope * mean_x:.4g}"),
    }


def cpu_ms(action, repeats: int = REPEATS, inner: int = 1) -> float:
    """Returns: median processor time of an action in milliseconds."""
    times = []
    for _ in range(repeats):
        start = time.process_time()
        for _ in range(inner):
            action()
        times.append((time.process_time() - start) / inner)
    return float(f"{sorted(times)[repeats // 2] * 1000:.4g}")


def make_report(upstream: str, sequence: int = 1):
    """Returns: a load report as an agent under work sends it."""
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


def child(part: str, *arguments: object) -> dict:
    """Run one measurement in a process of its own."""
    command = [sys.executable, "-m", "bench.slopes", "child", part]
    done = subprocess.run(
        command + [str(one) for one in arguments],
        stdout=subprocess.PIPE,
        timeout=CHILD_TIMEOUT_S,
        check=True,
    )
    # Log lines of what is measured come before the result.
    return json.loads(done.stdout.splitlines()[-1])


def _rss() -> int:
    gc.collect()
    return memory_kb()["RssAnon"]


class _Documents(msgspec.Struct):
    """Given to a child, so that making them does not count as its memory.

    Attributes:
        first: whole document.
        deltas: to the second document and back.
        digests: of the first and of the second document.
    """

    upstreams: int
    first: bytes
    deltas: tuple[bytes, bytes]
    digests: tuple[str, str]


def _write_documents(path: str, size: tuple[int, int]) -> None:
    from papayalink.state import changes
    from papayalink.state import document as documents

    made = [make_document(*size, step) for step in range(2)]
    content = _Documents(
        size[1],
        documents.encode(made[0]),
        (
            changes.make_delta(made[0], made[1]),
            changes.make_delta(made[1], made[0]),
        ),
        (documents.digest(made[0]), documents.digest(made[1])),
    )
    with open(path, "wb") as file:
        file.write(msgspec.msgpack.encode(content))


def child_control_part(path: str) -> dict:
    """Measure what control adds to an interpreter that runs gevent.

    The interpreter has imported gevent, msgspec, structlog and the logging
    set-up that any daemon needs; what follows is imported and held for
    control only.
    """
    import gevent  # noqa: F401
    from gevent import queue  # noqa: F401

    from papayalink import logs

    logs.configure("slopes", "entry")
    stages = {"interpreter": _rss()}
    from papayalink import clock as clocks
    from papayalink import timers
    from papayalink.coordination import configuration_poller  # noqa: F401
    from papayalink.coordination import selection as selections
    from papayalink.state import held_configuration
    from papayalink.transport import auth
    from papayalink.transport import rpc

    stages["modules"] = _rss()
    clock = clocks.make_clock()
    timer_service = timers.make_timer_service(clock)
    rpc.make_client(auth.make_signer(b"k" * 32, clock))
    selection = selections.make_selection("entry-1", "zone-1")
    stages["idle"] = _rss()
    before = _rss()
    with open(path, "rb") as file:
        given = msgspec.msgpack.decode(file.read(), type=_Documents)
    upstreams = given.upstreams
    mine = held_configuration.make_held_configuration()
    mine.update(1, given.first, b"", given.digests[0])
    # The poll reply that carried it is freed too.
    given.first = b""
    reports = [
        make_report(f"upstream-{number}") for number in range(upstreams)
    ]
    selection.update(mine.document, (), reports[:96], clock.now())
    stages["document"] = stages["idle"] + _rss() - before
    for step in range(40):
        mine.update(
            2 + step,
            b"",
            given.deltas[step % 2],
            given.digests[(step + 1) % 2],
        )
        selection.update(mine.document, (), reports[:96], clock.now())
    stages["after_40_changes"] = stages["idle"] + _rss() - before
    stages["peak_rss"] = memory_kb()["VmHWM"]
    timer_service.stop()
    return stages


def _fill(machine, count: int) -> None:
    """Apply the commands of finished calls."""
    from papayalink.protocol import relay
    from papayalink.state import ledger
    from papayalink.state import machine as machines

    answer = relay.encode(
        relay.Answered(200, "application/json", b"x" * ANSWER_BYTES)
    )
    digest = hashlib.sha256(b"body").hexdigest()
    for number in range(count):
        place = (f"workspace-{number % 3300}", f"confirm-{number:032x}")
        claim = f"claim-{number:032x}"
        at_s = 1_790_000_000.0 + number
        commands = (
            ledger.Claim(*place, digest + str(number), claim, at_s),
            ledger.Start(*place, claim, f"agent/{number:032x}", at_s),
            ledger.Finish(*place, claim, 200, answer, at_s),
        )
        for command in commands:
            # Commands arrive encoded, so no string is shared by records.
            machine.apply(number, machines.encode_command(command))


def child_ledger(count: str) -> dict:
    """Measure a machine with records of finished calls."""
    from papayalink.state import ledger
    from papayalink.state import machine as machines

    machine = machines.make_machine()
    before = _rss()
    start = time.process_time()
    _fill(machine, int(count))
    took = time.process_time() - start
    held = _rss() - before
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
        "held_kb": held,
        "call_us": round(took / max(1, int(count)) * 1e6, 2),
        "snapshot_bytes": sum(map(len, snapshot)),
        "snapshot_ms": round(snapshot_s * 1000, 2),
        "restore_ms": round(restore_s * 1000, 2),
    }


def child_stalls(count: str) -> dict:
    """Measure how long the snapshots of one member stop its process.

    The machine is filled behind the log's back, so that the first snapshot
    is due early and covers the whole ledger.
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
    latencies = []
    collections_s = [0.0]

    def time_collection(phase, info):
        if phase == "start":
            collections_s.append(-time.perf_counter())
        else:
            collections_s[-1] += time.perf_counter()

    def watch():
        while True:
            began = time.perf_counter()
            cpu = time.thread_time()
            gevent.sleep(0.001)
            gap = time.perf_counter() - began
            gaps.append((gap, time.thread_time() - cpu, began - start))

    def propose(number):
        claim = ledger.Claim("w", f"key-{number:032x}", "d", "c", 1.8e9)
        start = time.perf_counter()
        replica.propose(machines.encode_command(claim), 60.0)
        latencies.append(time.perf_counter() - start)

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
        _fill(machine, int(count))
        while not replica.is_leader:
            gevent.sleep(0.01)
        taken = set()
        start = time.perf_counter()
        watcher = gevent.spawn(watch)
        gc.callbacks.append(time_collection)
        used = time.process_time()
        sent = 0
        while (passed := time.perf_counter() - start) < STALL_RUN_S:
            while sent < passed * STALL_PROPOSALS_PER_S:
                gevent.spawn(propose, sent)
                sent += 1
            taken.add(replica.status()["snapshot_index"])
            gevent.sleep(0.002)
        while len(latencies) < sent:
            gevent.sleep(0.01)
        used = time.process_time() - used
        passed = time.perf_counter() - start
        watcher.kill()
        replica.stop()
    latencies.sort()
    return {
        "records": int(count),
        "snapshots": len(taken) - 1,
        "longest_gaps": [
            {
                "gap_ms": round(gap * 1000, 1),
                "of_it_cpu_ms": round(cpu * 1000, 1),
                "at_s": round(at_s, 2),
            }
            for gap, cpu, at_s in sorted(gaps, reverse=True)[:5]
        ],
        "longest_collection_ms": round(max(collections_s) * 1000, 1),
        "gaps_over_50_ms": sum(gap > 0.05 for gap, _, _ in gaps),
        "proposals_per_s": round(sent / passed),
        "propose_p50_ms": round(latencies[len(latencies) // 2] * 1000, 1),
        "propose_p95_ms": round(latencies[-len(latencies) // 20] * 1000, 1),
        "cores": round(used / passed, 2),
        "peak_mb": memory_kb()["VmHWM"] // 1024,
    }


def child_control_document(workspaces: str, upstreams: str) -> dict:
    """Measure a machine after 41 changes of a document."""
    from papayalink.state import configuration
    from papayalink.state import document as documents
    from papayalink.state import machine as machines

    sizes = (int(workspaces), int(upstreams))
    commands = [
        documents.encode(make_document(*sizes, step)) for step in range(8)
    ]
    machine = machines.make_machine()
    before = _rss()
    held = []
    for version in range(41):
        command = configuration.ApplyDocument(
            f"request-{version}",
            version,
            commands[version % 8],
            "operator",
            version,
        )
        machine.apply(version + 1, machines.encode_command(command))
        if version in (0, 20, 40):
            held.append(_rss() - before)
    return {
        "workspaces": sizes[0],
        "upstreams": sizes[1],
        "held_kb_after_1_21_41_changes": held,
        "snapshot_bytes": sum(map(len, machine.snapshot())),
    }


def child_pieces(count: str) -> dict:
    """Measure the index of a disk store; the files are left out."""
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

    draw = random.Random(1)
    clock = clocks.make_clock()
    policy = retention.ReturnPolicy()
    piece_bytes = b"p" * 100
    with tempfile.TemporaryDirectory() as folder:
        disk = disk_piece_store.DiskPieceStore(folder, 10**12, files=NoFiles())
        store = tiered_piece_store.TieredPieceStore(
            piece_store.MemoryPieceStore(0), disk, policy, clock
        )
        before = _rss()
        start = time.process_time()
        made = 0
        while made < int(count):
            # Seven pieces of 2,000 tokens to a prompt.
            prompt = [
                pieces.PieceKey(
                    f"workspace-{made % 3300}",
                    "counter-1/2026-11",
                    f"{draw.getrandbits(128):032x}",
                )
                for _ in range(7)
            ]
            policy.record_request(prompt, clock.now())
            for key, facts in zip(prompt, retention.make_facts(prompt)):
                value = policy.value(key, facts, 100, clock.now())
                disk.admit(key, piece_bytes, value, facts)
            made += 7
        put_s = time.process_time() - start
        held = _rss() - before
        start = time.process_time()
        store.revalue()
        revalue_s = time.process_time() - start
    return {
        "pieces": made,
        "held_kb": held,
        "put_us": round(put_s / max(1, made) * 1e6, 2),
        "revalue_ms": round(revalue_s * 1000, 2),
    }


def measure_control_part() -> dict:
    """Control's own part of an entry's memory, by document size."""
    runs = []
    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "documents")
        for size in SIZES:
            _write_documents(path, size)
            runs.append(
                {"workspaces": size[0], "upstreams": size[1]}
                | child("control_part", path)
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
    """Memory of a control member's machine."""
    ledgers = [child("ledger", size) for size in LEDGER_SIZES]
    held = [child("control_document", *size) for size in SIZES]
    return {
        "ledger": ledgers,
        "by_record": {
            name: fit([(run["records"], run[name]) for run in ledgers])
            for name in (
                "held_kb",
                "snapshot_bytes",
                "snapshot_ms",
                "restore_ms",
            )
        },
        "document": held,
        "by_workspace_kb": fit(
            [
                (run["workspaces"], run["held_kb_after_1_21_41_changes"][-1])
                for run in held
            ]
        ),
    }


def measure_stalls() -> dict:
    """Stalls of a member by its own snapshots, under proposals."""
    return {"runs": [child("stalls", size) for size in STALL_SIZES]}


def measure_deliveries() -> dict:
    """Calls that carry a part of a ledger's snapshot, by its size.

    Both ends share one process, as two members on two VMs would not.
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
    _fill(machine, 20_000)
    some = b"".join(machine.snapshot())
    signer = auth.make_signer(b"k" * 32, clocks.make_clock())

    def receive(message):
        raft_messages.decode(message.batch)
        return messages.Acknowledge()

    server = rpc.make_server(("127.0.0.1", 0), {"Deliver": receive}, signer)
    server.start()
    address = "%s:%s" % server.address
    client = rpc.make_client(signer)
    head = raft_messages.Snapshot(1, 1, membership.make_membership("a"), ())

    def deliver(size: int) -> tuple[float, str]:
        data = (some * (size // len(some) + 1))[:size]
        start = time.perf_counter()
        part = raft_messages.InstallSnapshot("a", "b", 1, head, 0, 1, data)
        message = messages.Deliver("a", raft_messages.encode([part]))
        try:
            client.call(address, "Deliver", message, peers.DELIVER_TIMEOUT_S)
        except errors.TransportError as error:
            return time.perf_counter() - start, type(error).__name__
        return time.perf_counter() - start, "delivered"

    deliver(1)
    runs = []
    for size in DELIVERY_BYTES:
        times = sorted(deliver(size) for _ in range(5))
        runs.append(
            {
                "bytes": size,
                "ms": round(times[2][0] * 1000, 1),
                "results": sorted({result for _, result in times}),
            }
        )
    return {"runs": runs}


def measure_pieces() -> dict:
    """Memory of a store's index."""
    runs = [child("pieces", size) for size in PIECE_SIZES]
    return {
        "runs": runs,
        "by_piece": {
            name: fit([(run["pieces"], run[name]) for run in runs])
            for name in ("held_kb", "revalue_ms")
        },
    }


def measure_document() -> dict:
    """Processor time of one change at a process that holds the document."""
    from papayalink.coordination import selection as selections
    from papayalink.state import changes
    from papayalink.state import document as documents
    from papayalink.state import held_configuration

    runs = []
    for size in SIZES:
        old = make_document(*size, 0)
        new = make_document(*size, 1)
        encoded = documents.encode(new)
        delta = changes.make_delta(old, new)
        digest = documents.digest(new)
        base = documents.encode(old)
        base_digest = documents.digest(old)

        def change(through, base=base, new=new, base_digest=base_digest):
            mine = held_configuration.make_held_configuration()
            mine.update(1, base, b"", base_digest)
            start = time.process_time()
            mine.update(2, *through)
            return time.process_time() - start

        by_delta = sorted(change((b"", delta, digest)) for _ in range(REPEATS))
        selection = selections.make_selection("entry-1", "zone-1")
        both = [documents.decode(base), documents.decode(encoded)]
        turn = [0]

        def take(selection=selection, both=both, turn=turn):
            turn[0] += 1
            selection.update(both[turn[0] % 2], (), (), 1.0)

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
                "selection_new_document_ms": cpu_ms(take),
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
    """Processor time of the choice and of a poll's reports."""
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
                "candidates": len(watched) // MODELS,
                "choose_ms": cpu_ms(choose, inner=40),
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


class WireCount:
    """Counts the bytes of calls through a proxy."""

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

        def relay(sock, _):
            import gevent
            from gevent import socket

            other = socket.create_connection(target)
            both = [
                gevent.spawn(self._copy, sock, other, 0),
                gevent.spawn(self._copy, other, sock, 1),
            ]
            gevent.joinall(both)

        proxy = servers.StreamServer(("127.0.0.1", 0), relay)
        proxy.start()
        self._address = f"127.0.0.1:{proxy.server_port}"
        self._client = rpc.make_client(signer)

    def measure(self, request, reply, calls: int = 20) -> list[float]:
        """Returns: bytes a call to the server and back."""
        self._reply = reply
        for _ in range(3):
            self._client.call(self._address, "Poll", request)
        self._counts[:] = [0, 0]
        for _ in range(calls):
            self._client.call(self._address, "Poll", request)
        return [count / calls for count in self._counts]

    def _copy(self, source, target, place: int) -> None:
        while data := source.recv(65_536):
            self._counts[place] += len(data)
            target.sendall(data)


def measure_bytes() -> dict:
    """Bytes of polls: encoded messages, and all that the TCP stream carries.

    The stream is counted by a proxy on loopback, on a connection that is
    already in use. TCP and IP headers come on top.
    """
    from papayalink.protocol import messages
    from papayalink.state import changes
    from papayalink.state import document as documents

    old = make_document(*SIZES[-1], 0)
    new = make_document(*SIZES[-1], 1)
    identity = ("entry-korangi-001", "entry", "0123456789ab")
    digest = documents.digest(new)
    runs = []
    wire = WireCount()
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
    demand = []
    for count in (0, 10, 100, 3300):
        some = tuple(
            messages.Demand(f"workspace-{number}", 412.53, 3)
            for number in range(count)
        )
        demand.append((count, len(msgspec.msgpack.encode(some))))
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
        "demand_or_share_bytes": demand,
        "by_demand": fit(demand),
        "whole_document": len(documents.encode(new)),
    }


def _reported_workspaces() -> list[dict]:
    """Returns: workspaces in the demand of an entry after 60 s of requests.

    An entry of the design size takes 3,400 / 360 requests a second. The
    large workspaces take more of them the higher the exponent is.
    """
    from papayalink.coordination import limits

    runs = []
    for requests_per_s in (2.0, 3400 / 360, 20.0):
        for exponent in (0.0, 1.0):
            draw = random.Random(1)
            weights = [(one + 1) ** -exponent for one in range(3300)]
            meter = limits.DemandMeter()
            now = 0.0
            counts = []
            while now < 60.0:
                now += draw.expovariate(requests_per_s)
                name = draw.choices(range(3300), weights)[0]
                meter.note(f"workspace-{name}", 2_400, now)
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
    """Processor time of the shares of limits that one poll asks for."""
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
            draw = random.Random(1)
            for entry in range(entries):
                some = draw.sample(range(3300), workspaces)
                table.merge(
                    f"entry-{entry}",
                    [
                        messages.Demand(f"workspace-{number}", 412.5, 3)
                        for number in some
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
