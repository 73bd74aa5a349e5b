"""Tests of running the stand-ins as commands."""

import signal
import subprocess
import sys

import pytest

from papayalink.adapters import connection


@pytest.mark.parametrize(
    "module, option, path",
    [
        ("engine", "--slots=2", "/v1/models"),
        ("orders", "--drops=1", "/load"),
        ("weights", "--size-bytes=10", "/weights/v1"),
        ("platform", "--lag-s=0.5", "/vms"),
    ],
)
def test_command_reports_its_address_and_stops(module, option, path):
    process = subprocess.Popen(
        [sys.executable, "-m", f"fakes.{module}", "--port=0", option],
        stdout=subprocess.PIPE,
    )
    try:
        line = process.stdout.readline().decode()
        key, _, address = line.strip().partition("=")
        assert key == "listening"
        reply = connection.Connector(address, 1.0).call("GET", path, 5.0)
        assert reply.status == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 0
    finally:
        process.kill()
        process.stdout.close()
