"""Tests that the platform's names occur only in its adapter."""

import pathlib

import pytest

import papayalink

_ROOT = pathlib.Path(papayalink.__file__).parent
_ADAPTER = _ROOT / "platform"
# Headers, paths and fields that no other interface uses.
_PLATFORM_NAMES = (
    "papayalink-request",
    "papayalink-deadline",
    "papayalink-server",
    "papayalink-expect",
    "papayalink-kv",
    "papayalink-cache-salt",
    "papayalink-prefix",
    "papayalink-tenant",
    "papayalink-not",
    "papayalink-instance",
    "papayalink-model",
    "papayalink_config",
    "/-/",
    "pathprefix",
    "apikeys",
    "kvstoreaddr",
    "cloudapi",
    "nexttoken",
    "swapmode",
    "fencingtoken",
    "maxinflight",
)


@pytest.mark.parametrize(
    "path",
    [
        path
        for path in sorted(_ROOT.rglob("*.py"))
        if _ADAPTER not in path.parents
    ],
    ids=lambda path: str(path.relative_to(_ROOT)),
)
def test_no_other_module_contains_platform_names(path):
    text = path.read_text().lower()
    assert [name for name in _PLATFORM_NAMES if name in text] == []
