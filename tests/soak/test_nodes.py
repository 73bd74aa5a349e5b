"""Ends of processes that are not as they should be are noted."""

import signal
import subprocess
import sys

from gevent import socket
import pytest

from soak import nodes

_HANDLER = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: {action})
print("ready", flush=True)
# A signal that comes right before a sleep does not end it.
for _ in range(600):
    time.sleep(0.05)
"""


@pytest.fixture(autouse=True)
def default_action():
    """Give processes the default action of SIGHUP, also below nohup."""
    before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, before)


def _make_node(tmp_path, program):
    process = subprocess.Popen(
        [sys.executable, "-c", program], stdout=subprocess.PIPE
    )
    return nodes.Node(
        "g1",
        "gateway",
        "127.0.0.1",
        str(tmp_path),
        {},
        process,
    )


_LISTENER = """
import socket, time
time.sleep(0.5)
listener = socket.create_server(("{ip}", {port}))
time.sleep(30)
"""


@pytest.fixture
def network():
    made = nodes.Network()
    yield made
    made.close()


# Guards against runs that fail since a process gets too little processor time
# to load its code, before anything is asked of it.
def test_process_that_listens_late_is_waited_for(tmp_path, network):
    ip = network.ip(3)
    node = _make_node(
        tmp_path, _LISTENER.format(ip=ip, port=nodes.INSPECT_PORT)
    )
    node.ip = ip
    with node.process.stdout:
        node.wait_listening()
        with socket.create_connection((ip, nodes.INSPECT_PORT), 1.0):
            node.kill()
    assert node.failures == []


@pytest.mark.parametrize(
    ("program", "failures"),
    [
        ("raise SystemExit(3)", ["g1 ended at its start with status 3"]),
        ("import time; time.sleep(30)", ["g1 does not listen"]),
    ],
)
def test_process_that_does_not_listen(
    tmp_path, network, monkeypatch, program, failures
):
    monkeypatch.setattr(nodes, "LISTEN_TIMEOUT_S", 2.0)
    node = _make_node(tmp_path, program)
    node.ip = network.ip(3)
    with node.process.stdout:
        node.wait_listening()
        node.process.kill()
        node.process.wait()
    assert node.failures == failures


def test_process_that_ends_by_itself(tmp_path):
    node = _make_node(tmp_path, "raise SystemExit(3)")
    node.process.communicate()
    node.note_own_end()
    assert node.failures == ["g1 ended by itself with status 3"]


_NO_HANDLER = """
import time
print("ready", flush=True)
time.sleep(30)
"""


@pytest.mark.parametrize(
    ("program", "failures"),
    [
        (_HANDLER.format(action="sys.exit(0)"), []),
        (_HANDLER.format(action="sys.exit(1)"), ["g1 stopped with status 1"]),
        (
            _HANDLER.format(action="signal.raise_signal(signal.SIGHUP)"),
            ["g1 stopped with status -1"],
        ),
        (_NO_HANDLER, []),
    ],
    ids=["done", "failed", "hung-up", "starting"],
)
def test_planned_stop(tmp_path, program, failures):
    node = _make_node(tmp_path, program)
    with node.process.stdout as stdout:
        stdout.readline()
        node.terminate()
    assert node.failures == failures


def test_reload_that_ends_a_process(tmp_path):
    """Guards against a reload that ends a process unseen."""
    node = _make_node(tmp_path, _NO_HANDLER)
    with node.process.stdout as stdout:
        stdout.readline()
        node.process.send_signal(signal.SIGHUP)
        node.process.wait()
        node.note_own_end()
    assert node.failures == ["g1 ended by itself with status -1"]


def test_reload_waits_for_the_program(tmp_path):
    """Guards against a signal while the interpreter starts."""
    node = _make_node(tmp_path, _NO_HANDLER)
    with node.process.stdout as stdout:
        stdout.readline()
        assert not node.reload(signals=True)
        assert node.running
        node.kill()
