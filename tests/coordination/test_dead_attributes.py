"""Tests that no class keeps what its module never reads."""

import ast
import pathlib

import pytest

from papayalink import coordination

_PACKAGE = pathlib.Path(coordination.__file__).parent
_MODULES = sorted(
    str(path.relative_to(_PACKAGE)) for path in _PACKAGE.rglob("*.py")
)


def _slots(tree):
    """Returns: private names in the `__slots__` of all classes."""
    found = set()
    for node in ast.walk(tree):
        match node:
            case ast.Assign([ast.Name("__slots__")], ast.Tuple(names)):
                found.update(name.value for name in names)
    return {
        name
        for name in found
        if name.startswith("_") and not name.startswith("__")
    }


def _read_names(tree):
    """Returns: attributes that are read or changed in place."""
    found = set()
    for node in ast.walk(tree):
        match node:
            case ast.Attribute(attr=name, ctx=ast.Load()):
                found.add(name)
            case ast.AugAssign(ast.Attribute(attr=name)):
                found.add(name)
    return found


# Guards against attributes that stay when their last reader goes.
@pytest.mark.parametrize("module", _MODULES)
def test_every_private_attribute_is_read(module):
    tree = ast.parse((_PACKAGE / module).read_text())
    assert _slots(tree) - _read_names(tree) == set()
