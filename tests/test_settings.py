"""Tests of process settings."""

import json

import pytest

from papayalink import settings as settings_module

_KEY = "ab" * 32
_COMMON_FIELDS = {
    "name": "c1",
    "zone": "korangi",
    "region": "south",
    "inspect_listen": "10.0.0.1:79",
    "controls": {"c1": "10.0.0.1:81", "c2": "10.0.0.2:81"},
    "deployment_key": _KEY,
}
_FIELDS_BY_ROLE = {
    "entry": {"listen": "10.0.0.1:80"},
    "agent": {
        "listen": "10.0.0.1:80",
        "upstream": "e1",
        "upstream_address": "10.0.0.1:8000",
    },
    "store": {
        "listen": "10.0.0.1:80",
        "data_folder": ".",
        "memory_bytes": 1,
        "disk_bytes": 1,
    },
    "control": {
        "rpc_listen": "10.0.0.1:81",
        "data_folder": ".",
        "console_listen": "10.0.0.1:82",
        "console_token": "0123456789abcdef",
    },
}


def _load(folder, role, **changes):
    """Load a settings file with changed fields; `...` removes a field."""
    value = (
        {"role": role}
        | _COMMON_FIELDS
        | _FIELDS_BY_ROLE.get(role, {})
        | changes
    )
    value = {key: each for key, each in value.items() if each is not ...}
    file = folder / "settings.json"
    file.write_text(json.dumps(value))
    return settings_module.load(file)


@pytest.mark.parametrize("role", list(_FIELDS_BY_ROLE))
def test_each_role_loads(tmp_path, role):
    # Guards against a process that starts with another role's settings.
    loaded = _load(tmp_path, role).unwrap()
    assert type(loaded) is settings_module.ROLES[role]
    assert loaded.role == role
    assert loaded.key == bytes.fromhex(_KEY)
    assert _KEY not in repr(loaded)


def test_key_file_and_folder_are_relative_to_the_file(tmp_path):
    # Guards against paths that depend on the working directory.
    (tmp_path / "key").write_text(_KEY + "\n")
    (tmp_path / "data").mkdir()
    loaded = _load(
        tmp_path,
        "control",
        deployment_key=...,
        deployment_key_file="key",
        data_folder="data",
    ).unwrap()
    assert loaded.key == bytes.fromhex(_KEY)
    assert loaded.data_folder == str(tmp_path / "data")


@pytest.mark.parametrize(
    "role, changes, path, part",
    [
        ("entri", {}, "$.role", "entry, agent"),
        (..., {}, "$.role", "missing"),
        (7, {}, "$.role", "number"),
        ("entry", {"lisen": 1}, "$.lisen", '"listen"'),
        ("entry", {"data_folder": "."}, "$.data_folder", "unknown key"),
        ("entry", {"zone": ...}, "$.zone", "missing"),
        ("entry", {"zone": ""}, "$.zone", "valid name"),
        ("entry", {"listen": 80}, "$.listen", "a string"),
        ("entry", {"listen": "localhost:80"}, "$.listen", "IP:PORT"),
        ("entry", {"inspect_listen": "10.0.0.1:80"}, "$.listen", "same"),
        ("entry", {"controls": {}}, "$.controls", "no control member"),
        ("entry", {"controls": ["a"]}, "$.controls", "an object"),
        ("entry", {"controls": {"a": "b"}}, "$.controls.a", "IP:PORT"),
        (
            "entry",
            {"controls": {"a": "10.0.0.1:1", "b": "10.0.0.1:1"}},
            "$.controls.b",
            "address of a",
        ),
        ("entry", {"deployment_key": "ab"}, "$.deployment_key", "32 bytes"),
        ("entry", {"deployment_key": ...}, "$.deployment_key", "missing"),
        (
            "entry",
            {"deployment_key_file": "k"},
            "$.deployment_key",
            "either",
        ),
        (
            "entry",
            {"deployment_key": ..., "deployment_key_file": "none"},
            "$.deployment_key_file",
            "No such file",
        ),
        ("agent", {"upstream": "a b"}, "$.upstream", "valid name"),
        ("agent", {"upstream_address": "x"}, "$.upstream_address", "IP:PORT"),
        ("agent", {"upstream_kind": "gpu"}, "$.upstream_kind", "service"),
        ("entry", {"drain_delay_s": -1}, "$.drain_delay_s", "0 to 60"),
        ("entry", {"drain_delay_s": 61}, "$.drain_delay_s", "0 to 60"),
        ("store", {"memory_bytes": 0}, "$.memory_bytes", "1 or more"),
        ("store", {"disk_bytes": 1.5}, "$.disk_bytes", "whole number"),
        ("store", {"data_folder": "none"}, "$.data_folder", "No such file"),
        ("store", {"data_folder": ""}, "$.data_folder", "empty"),
        (
            "store",
            {"data_folder": "settings.json"},
            "$.data_folder",
            "Not a directory",
        ),
        (
            "control",
            {"console_listen": "10.0.0.1:81"},
            "$.console_listen",
            "another port",
        ),
        ("control", {"console_token": "x" * 15}, "$.console_token", "16"),
        ("control", {"console_token": "x " * 9}, "$.console_token", "spaces"),
        ("control", {"platform_address": "x"}, "$.platform_address", "IP"),
        ("control", {"weights_address": "x"}, "$.weights_address", "IP"),
        ("control", {"join": "yes"}, "$.join", "true or false"),
        ("control", {"name": "c3"}, "$.controls", "join"),
    ],
)
def test_one_fault_is_one_line(tmp_path, role, changes, path, part):
    # Guards against a process that starts with wrong settings, and against
    # an error that does not name the wrong setting.
    (problem,) = _load(tmp_path, role, **changes).unwrap_err()
    assert problem.path == path
    assert part in problem.text + problem.fix
    assert "\n" not in str(problem)


def test_several_problems_at_once(tmp_path):
    # Guards against reporting only the first of several problems, which
    # would cost the operator a restart for each.
    problems = _load(
        tmp_path, "store", zone=..., listen="x", disk_bytes=-1, x=1
    ).unwrap_err()
    assert [problem.path for problem in problems] == [
        "$.x",
        "$.zone",
        "$.listen",
        "$.disk_bytes",
    ]


@pytest.mark.parametrize("content", [None, b"{", b"[]", b"\xff"])
def test_unreadable_file(tmp_path, content):
    # Guards against a traceback in place of an error message.
    file = tmp_path / "settings.json"
    if content is not None:
        file.write_bytes(content)
    (problem,) = settings_module.load(file).unwrap_err()
    assert problem.path == (str(file) if content is None else "$")


def test_new_member_may_be_absent_from_the_list(tmp_path):
    # Guards against a replacement of a member that needs changed settings on
    # all other members.
    assert _load(tmp_path, "control", name="c3", join=True).is_ok()
