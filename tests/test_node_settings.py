"""Tests of settings whose templates the platform fills in."""

import json
import pathlib
import re

import pytest

from papayalink import node_settings

_DEPLOY = pathlib.Path(__file__).parent.parent / "deploy"
# Values that the platform fills in, by their names in the templates.
_PLATFORM_VALUES = {
    "nodeName": "edge-z1-1",
    "ip": "10.1.0.9",
    "zone": "z1",
    "region": "r1",
    "seeds": ["10.1.0.9:8745", "10.2.0.38:8745"],
    "portRange.0": 7580,
    "cloudApi.address": "10.200.0.157:8744",
    "bounds.graceS": 8,
    "bounds.leaseMs": 3000,
    "bounds.versionMs": 10000,
    "bounds.retryBudgetRatio": 0.2,
    "bounds.retrySlack": 58,
    "bounds.retryWindowS": 10,
    "listen.frontend": "10.1.0.9:8749",
    "listen.ready": "10.1.0.9:8741",
    "listen.control": "10.1.0.9:8745",
    "dataDir": "/data/authority",
    "faultTolerance.machines": 1,
    "bootstrap": True,
}


def _render(role, **changes):
    """Returns: the template as the platform fills it in."""
    values = _PLATFORM_VALUES | changes

    def section(match):
        kept = bool(values[match[2]]) == (match[1] == "#")
        return match[3] if kept else ""

    def value(match):
        name, _, form = match[1].partition("|")
        return (
            json.dumps(values[name]) if form == "json" else str(values[name])
        )

    text = (_DEPLOY / f"{role}.json").read_text()
    text = re.sub(r"\{\{([#^])(.+?)\}\}(.*?)\{\{/\2\}\}", section, text)
    return re.sub(r"\{\{([^}]+)\}\}", value, text)


def _load(folder, role, **changes):
    value = json.loads(_render(role)) | changes
    value = {key: item for key, item in value.items() if item is not ...}
    file = folder / "settings.json"
    file.write_text(json.dumps(value))
    return node_settings.load(file, role)


@pytest.mark.parametrize("role", list(node_settings.ROLES))
def test_templates_make_valid_settings(tmp_path, role):
    settings = _load(tmp_path, role).unwrap()
    assert settings.role == role
    assert settings.seed_peers == ("10.1.0.9:7580", "10.2.0.38:7580")
    assert settings.bounds.grace_s == 8
    assert settings.deployment_key not in repr(settings)


@pytest.mark.parametrize(
    ("role", "changes", "path"),
    [
        ("gateway", {"listen": ...}, "$.listen"),
        ("gateway", {"listen": "nowhere"}, "$.listen"),
        ("gateway", {"seeds": []}, "$.seeds"),
        ("gateway", {"seeds": ["10.1.0.9"]}, "$.seeds[0]"),
        ("gateway", {"peer_port": 0}, "$.peer_port"),
        ("gateway", {"deployment_key": "ab"}, "$.deployment_key"),
        ("gateway", {"bounds": {"grace_s": "8"}}, "$.bounds.grace_s"),
        ("gateway", {"lisen": "10.0.0.1:1"}, "$.lisen"),
        ("gateway", {"zone": ""}, "$.zone"),
        ("authority", {"data_folder": ""}, "$.data_folder"),
        ("authority", {"data_folder": ...}, "$.data_folder"),
        ("authority", {"data_folder": 1}, "$.data_folder"),
        ("authority", {"first_start": 1}, "$.first_start"),
    ],
)
def test_problems_name_their_path(tmp_path, role, changes, path):
    problems = _load(tmp_path, role, **changes).unwrap_err()
    assert path in [problem.path for problem in problems]


@pytest.mark.parametrize("folder", ["/data/authority", None])
def test_vm_without_a_disk_has_a_null_data_folder(folder):
    # Only null means that there is no disk; a folder that is missing or
    # empty is an error.
    value = json.loads(_render("authority", dataDir=folder))
    assert value["data_folder"] == folder


def test_unknown_role_and_missing_file(tmp_path):
    assert _load(tmp_path, "gateway").is_ok()
    file = tmp_path / "settings.json"
    assert node_settings.load(file, "other").is_err()
    assert node_settings.load(tmp_path / "none", "gateway").is_err()


@pytest.mark.parametrize("role", list(node_settings.ROLES))
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("bounds.retrySlack", 40.909),
        ("bounds.retrySlack", 58.0),
        ("bounds.retryBudgetRatio", 0),
        ("bounds.retryWindowS", 10.5),
        ("bounds.graceS", 7.25),
        ("bounds.versionMs", 10000.0),
        ("bounds.versionMs", 9090.9),
        ("bounds.leaseMs", 3000.5),
    ],
)
def test_bounds_of_a_scaled_deployment_are_accepted(
    tmp_path, role, field, value
):
    """Guards against processes that do not start on a scaled deployment."""
    file = tmp_path / "settings.json"
    file.write_text(_render(role, **{field: value}))
    assert node_settings.load(file, role).is_ok()


@pytest.mark.parametrize("field", ["retry_slack", "retry_ratio", "grace_s"])
def test_bound_below_zero_is_refused(tmp_path, field):
    problems = _load(tmp_path, "gateway", bounds={field: -1}).unwrap_err()
    assert [each.path for each in problems] == [f"$.bounds.{field}"]
