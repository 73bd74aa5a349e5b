"""Tests of the command-line tool against a console in this process."""

import json

from gevent import pywsgi
import msgspec
import pytest

import papayalink.cli.main as cli
import papayalink.clock as clocks
from papayalink.console import application
from papayalink.console import errors
from papayalink.state import configuration
from tests.console import fake_backend
from tests.state import samples


def _serve(wsgi_app):
    server = pywsgi.WSGIServer(("127.0.0.1", 0), wsgi_app, log=None)
    server.start()
    return server


@pytest.fixture
def backend():
    fake = fake_backend.FakeBackend()
    data = msgspec.json.encode(samples.valid())
    fake.configuration.apply(
        configuration.ApplyDocument("first", 0, data, "ann", 1_000)
    )
    return fake


@pytest.fixture
def address(backend):
    server = _serve(
        application.make_application(
            backend, fake_backend.TOKEN, clocks.ManualClock(1)
        )
    )
    yield f"127.0.0.1:{server.server_port}"
    server.stop()


@pytest.fixture
def run(address, capsys, tmp_path):
    (tmp_path / "token").write_text(fake_backend.TOKEN + "\n")

    def run(*arguments, control=address, token="token"):
        code = cli.main(
            [
                *arguments,
                f"--control=http://{control}",
                f"--token_file={tmp_path / token}",
            ]
        )
        captured = capsys.readouterr()
        return code, captured.out, captured.err

    return run


@pytest.fixture
def file(tmp_path):
    def write(name="document.json", **changes):
        path = tmp_path / name
        path.write_text(json.dumps(samples.valid() | changes))
        return str(path)

    return write


_CHANGED_LIMITS = {"max_queue_per_upstream": 9}


def test_validate(run, file):
    # Guards against exit code 0 for an invalid document.
    assert run("validate", file())[0] == 0
    code, out, err = run("validate", file(ranks=[{"nam": "x"}]), "--json")
    assert code == 2
    assert '$.ranks[0].nam: is an unknown key; did you mean "name"?' in err
    assert json.loads(out)["problems"][0]["path"] == "$.ranks[0].nam"


def test_apply(run, file, backend):
    # Guards against a change that is applied without being shown and
    # confirmed.
    path = file(limits=_CHANGED_LIMITS)
    code, out, err = run("apply", path)
    assert (code, backend.configuration.version) == (2, 1)
    assert "give --yes" in err
    code, out, err = run("apply", path, "--yes", "--json")
    assert (code, json.loads(out)["version"]) == (0, 2)
    assert "~ limits.max_queue_per_upstream: 256 -> 9" in err
    code, out, _ = run("apply", path, "--yes")
    assert (code, out, backend.configuration.version) == (0, "no changes\n", 2)


def test_conflict_and_reuse(run, file, backend):
    # Guards against a script that takes a conflicting change for applied.
    path = file(limits=_CHANGED_LIMITS)
    assert run("apply", path, "--yes", "--request-id=12e4")[0] == 0
    code, out, err = run(
        "apply", path, "--yes", "--request-id=r2", "--base=1", "--json"
    )
    assert code == 1
    assert "conflict" in err and "256 -> 9" in err
    assert json.loads(out)["outcome"] == "conflict"
    code, _, err = run("apply", path, "--yes", "--request-id=12e4", "--base=2")
    assert (code, "another change" in err) == (1, True)
    code, out, _ = run("apply", path, "--yes", "--request-id=12e4", "--base=1")
    assert (code, out) == (0, "accepted as version 2\n")


def test_lost_answer_is_unknown_and_can_be_resent(run, file, backend):
    # Guards against a lost response that is reported as a failure although
    # the change was accepted.
    backend.fault = errors.Unknown("timed out")
    path = file(limits=_CHANGED_LIMITS)
    code, out, err = run("apply", path, "--yes", "--json")
    assert code == 4
    body = json.loads(out)
    assert (body["error"], body["base_version"]) == ("outcome_unknown", 1)
    assert f"--request-id {body['request_id']} --base 1" in err
    backend.fault = None
    code, out, _ = run(
        "apply",
        path,
        "--yes",
        f"--request-id={body['request_id']}",
        "--base=1",
    )
    assert (code, out) == (0, "accepted as version 2\n")


def test_members_are_tried_in_turn(run, address, backend):
    # Guards against a tool that fails when one control member is down.
    closed = "127.0.0.1:1"
    assert run("show", control=f"{closed},http://{address}")[0] == 0
    code, _, err = run("show", control=closed)
    assert (code, "connection refused" in err) == (3, True)
    backend.fault = errors.Unavailable("no quorum")
    code, _, err = run("status")
    assert (code, "no quorum" in err) == (3, True)


def test_redirect_to_the_leader(run, address):
    # Guards against a tool that gives up when a follower redirects it, or
    # that follows a redirect loop for ever.
    other = fake_backend.FakeBackend()
    other.fault = errors.NotLeader(address)
    follower = _serve(
        application.make_application(
            other, fake_backend.TOKEN, clocks.ManualClock(1)
        )
    )
    code, out, _ = run(
        "show", "--json", control=f"127.0.0.1:{follower.server_port}"
    )
    assert (code, json.loads(out)["version"]) == (0, 1)
    other.fault = errors.NotLeader(f"127.0.0.1:{follower.server_port}")
    code, _, err = run("show", control=f"127.0.0.1:{follower.server_port}")
    assert (code, "too many redirects" in err) == (3, True)
    follower.stop()


def test_drain(run, backend):
    # Guards against a drain that is not recorded in the document.
    code, _, err = run("drain", "e1", "--yes")
    assert code == 0
    assert "~ upstreams[e1].draining: false -> true" in err
    assert backend.configuration.document.upstreams[0].draining
    assert run("drain", "e1", "--yes")[1] == "no changes\n"
    assert run("drain", "e1", "--undo", "--yes")[0] == 0
    assert backend.configuration.version == 3
    code, _, err = run("drain", "e9", "--yes")
    assert (code, "did you mean e1" in err) == (2, True)


def test_reading_commands(run, backend):
    # Guards against keys that are parsed as numbers ("007", "1e3") and
    # against unreadable output.
    backend.calls[("w0", "007")] = {"state": "finished"}
    code, out, _ = run("call", "w0", "007")
    assert (code, json.loads(out)) == (0, {"state": "finished"})
    assert run("call", "w0", "1e3")[0] == 1
    code, out, _ = run("history", "--count=1")
    assert (code, out.splitlines()[0]) == (
        0,
        "version 1, 1970-01-01 00:00:01 UTC, ann",
    )
    assert json.loads(run("status")[1])["leader"] == "c1"


def test_dump_does_not_send_the_token(run, capsys):
    # Guards against leaking the console token to the address of any process.
    seen = []

    def process(environ, start_response):
        seen.append((environ["PATH_INFO"], "HTTP_AUTHORIZATION" in environ))
        start_response("200 OK", [("Content-Type", "application/json")])
        return [b'{"queues": {}}']

    server = _serve(process)
    code, out, _ = run("dump", f"127.0.0.1:{server.server_port}")
    server.stop()
    assert (code, json.loads(out)) == (0, {"queues": {}})
    assert seen == [("/debug/state", False)]


@pytest.mark.parametrize(
    "arguments, code, part",
    [
        (["apply", "none.json"], 2, "none.json: not readable"),
        (["apply", "FILE", "--base=x"], 2, "--base"),
        (["history", "--count=0"], 2, "--count"),
        (["dump", "host"], 2, "IP:PORT"),
    ],
)
def test_wrong_usage(run, file, arguments, code, part):
    # Guards against errors that do not name the argument.
    given_arguments = [
        file() if each == "FILE" else each for each in arguments
    ]
    exit_code, _, err = run(*given_arguments)
    assert (exit_code, part in err) == (code, True)


def test_wrong_control_and_token(run, capsys, tmp_path):
    # Guards against errors that do not name the option.
    code, _, err = run("show", control="localhost")
    assert (code, "--control" in err) == (2, True)
    code, _, err = run("show", token="none")
    assert (code, "not readable" in err) == (2, True)
    (tmp_path / "other").write_text("x" * 20)
    code, _, err = run("show", token="other")
    assert (code, "PAPAYALINK_TOKEN" in err) == (1, True)
    with pytest.raises(SystemExit) as caught:
        cli.main(["shwo"])
    assert caught.value.code == 2
