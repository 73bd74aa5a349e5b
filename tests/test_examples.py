"""Tests that the example documents and settings files are valid."""

import json
import pathlib
import secrets
import shutil

import pytest

from papayalink import settings as settings_module
from papayalink.state import validation

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
DEPLOYMENTS = ("tidewater", "kitanotane")
PROCESSES_BY_ROLE = {"entry": 2, "agent": 9, "store": 2, "control": 3}


def _settings_files(deployment: str) -> list[pathlib.Path]:
    return sorted(
        path
        for path in (EXAMPLES / deployment).glob("*.json")
        if path.name != "document.json"
    )


def _load(path: pathlib.Path, folder: pathlib.Path):
    """Load a copy of a settings file, with its key file and data folder."""
    copy = shutil.copy(path, folder)
    content = json.loads(path.read_bytes())
    key_file = folder / content["deployment_key_file"]
    key_file.write_text(secrets.token_hex(settings_module.MIN_KEY_BYTES))
    if "data_folder" in content:
        (folder / content["data_folder"]).mkdir(parents=True)
    return settings_module.load(copy)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_document_is_valid(deployment):
    # Guards against examples that `papayalink apply` refuses.
    data = (EXAMPLES / deployment / "document.json").read_bytes()
    outcome = validation.validate(data)
    assert outcome.is_ok(), validation.render(outcome.unwrap_err())


@pytest.mark.parametrize(
    "path",
    [path for name in DEPLOYMENTS for path in _settings_files(name)],
    ids=lambda path: f"{path.parent.name}/{path.stem}",
)
def test_settings_load(path, tmp_path):
    # Guards against settings files that do not match the schema.
    outcome = _load(path, tmp_path)
    assert outcome.is_ok(), outcome.unwrap_err()
    assert outcome.unwrap().name == path.stem


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_settings_agree_with_document(deployment, tmp_path):
    # Guards against a document with the address of an agent or store that does
    # not listen there, and against two processes with the same address.
    data = (EXAMPLES / deployment / "document.json").read_bytes()
    document = validation.validate(data).unwrap()
    all_settings = [
        _load(path, tmp_path).unwrap() for path in _settings_files(deployment)
    ]
    by_role = {
        role: [each for each in all_settings if each.role == role]
        for role in PROCESSES_BY_ROLE
    }
    assert {
        role: len(each) for role, each in by_role.items()
    } == PROCESSES_BY_ROLE
    assert {
        (each.upstream, each.listen, each.zone, each.upstream_kind)
        for each in by_role["agent"]
    } == {
        (each.name, each.agent, each.zone, each.kind)
        for each in document.upstreams
    }
    assert {
        (each.name, each.listen, each.zone) for each in by_role["store"]
    } == {(each.name, each.address, each.zone) for each in document.stores}
    controls = {each.name: each.rpc_listen for each in by_role["control"]}
    assert all(each.controls == controls for each in all_settings)
    addresses = [
        getattr(each, field)
        for each in all_settings
        for field in (
            "inspect_listen",
            "listen",
            "rpc_listen",
            "console_listen",
            "upstream_address",
        )
        if hasattr(each, field)
    ]
    assert len(set(addresses)) == len(addresses)
