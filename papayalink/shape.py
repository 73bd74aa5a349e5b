"""Check of decoded JSON against a struct, reporting every problem."""

import difflib
import ipaddress
import json
import math
import re

import msgspec
from msgspec import inspect

# Larger integers lose digits in other JSON readers, and MessagePack
# cannot hold more than 64 bits.
MAX_INTEGER = 2**53

# Names are used in URLs, file names and log lines.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
# Callers name models as published, such as "group/model:variant".
MODEL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")


class Problem(msgspec.Struct, frozen=True):
    """One problem of a document or settings file.

    Attributes:
        path: JSON path of the value, such as "$.ranks[0].weight".
        text: what is wrong.
        fix: what to do about it.
    """

    path: str
    text: str
    fix: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}; {self.fix}"


class _Object(dict):
    """JSON object that knows which of its keys were given twice."""

    __slots__ = ("repeated",)


def parse(data: bytes) -> tuple[object, list[Problem]]:
    """Decode JSON; repeated keys are kept for `build` to report.

    Returns:
        The value and no problems, or None and one problem.
    """
    try:
        # The stricter reader of the two decides about syntax.
        msgspec.json.decode(data)
        return json.loads(data, object_pairs_hook=_make_object), []
    except msgspec.DecodeError as error:
        text, fix = f"not readable as JSON: {error}", "correct the syntax"
    except UnicodeDecodeError as error:
        text, fix = f"not UTF-8: {error.reason}", "save the file as UTF-8"
    except RecursionError:
        text, fix = "nested too deeply", "remove the nested values"
    except ValueError as error:
        text, fix = f"not readable as JSON: {error}", "correct the number"
    return None, [Problem("$", text, fix)]


def has_repeated_key(data: bytes) -> bool:
    """Returns: whether an object gives a key twice, for readable JSON."""
    found = False

    def check(pairs: list[tuple[str, object]]) -> None:
        nonlocal found
        found = found or len(dict(pairs)) != len(pairs)

    json.loads(data, object_pairs_hook=check)
    return found


def _make_object(pairs: list[tuple[str, object]]) -> dict:
    made = dict(pairs)
    if len(made) == len(pairs):
        return made
    seen = set()
    marked = _Object(made)
    marked.repeated = sorted(
        {key for key, _ in pairs if key in seen or seen.add(key)}
    )
    return marked


def build(
    value: object, kind: inspect.Type, path: str, problems: list[Problem]
) -> object:
    """Build a value of a type, as far as the JSON value allows.

    Args:
        value: decoded JSON.
        kind: the wanted type, from `msgspec.inspect.type_info`.
        path: JSON path of the value.
        problems: receives one problem for each fault.

    Returns:
        The typed value; None stands wherever a value was wrong.
    """
    match kind:
        case inspect.StructType():
            return _build_struct(value, kind, path, problems)
        case inspect.VarTupleType():
            if isinstance(value, list):
                return tuple(
                    build(item, kind.item_type, f"{path}[{index}]", problems)
                    for index, item in enumerate(value)
                )
            wanted = "a list"
        case inspect.DictType():
            if isinstance(value, dict):
                _report_repeated(value, path, problems)
                return {
                    key: build(
                        item, kind.value_type, join(path, key), problems
                    )
                    for key, item in value.items()
                }
            wanted = "an object"
        case inspect.BoolType():
            if isinstance(value, bool):
                return value
            wanted = "true or false"
        case inspect.IntType():
            if isinstance(value, int) and not isinstance(value, bool):
                return _build_integer(value, path, problems)
            wanted = "a whole number"
        case inspect.FloatType():
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                if abs(value) <= MAX_INTEGER and math.isfinite(value):
                    return float(value)
                wanted = "a smaller number"
            else:
                wanted = "a number"
        case inspect.StrType():
            if isinstance(value, str):
                return value
            wanted = "a string"
        case inspect.UnionType(types=(one, inspect.NoneType())):
            if value is None:
                return None
            return build(value, one, path, problems)
        case _:
            raise TypeError(f"no check for {kind}")
    problems.append(
        Problem(path, f"is {describe(value)}", f"give {wanted} instead")
    )
    return None


def _build_integer(
    value: int, path: str, problems: list[Problem]
) -> int | None:
    if abs(value) <= MAX_INTEGER:
        return value
    problems.append(
        Problem(path, "is out of range", f"give at most {MAX_INTEGER}")
    )
    return None


def _build_struct(
    value: object,
    kind: inspect.StructType,
    path: str,
    problems: list[Problem],
) -> object:
    if not isinstance(value, dict):
        problems.append(
            Problem(
                path, f"is {describe(value)}", "give an object with named keys"
            )
        )
        return None
    known = [field.encode_name for field in kind.fields]
    if kind.tag_field is not None:
        known.append(kind.tag_field)
    _report_repeated(value, path, problems)
    for key in value:
        if key not in known:
            problems.append(_unknown_key(key, known, path))
    given = {}
    for field in kind.fields:
        if field.encode_name in value:
            given[field.name] = build(
                value[field.encode_name],
                field.type,
                join(path, field.encode_name),
                problems,
            )
        elif field.required:
            given[field.name] = None
            problems.append(
                Problem(
                    join(path, field.encode_name), "is missing", "add this key"
                )
            )
    return kind.cls(**given)


def _unknown_key(key: str, known: list[str], path: str) -> Problem:
    near = difflib.get_close_matches(key, known, n=1, cutoff=0.5)
    if near:
        fix = f'did you mean "{near[0]}"?'
    else:
        fix = f"remove it; known keys: {', '.join(sorted(known))}"
    return Problem(join(path, key), "is an unknown key", fix)


def _report_repeated(value: dict, path: str, problems: list[Problem]) -> None:
    if isinstance(value, _Object):
        for key in value.repeated:
            problems.append(
                Problem(join(path, key), "is given twice", "keep one of them")
            )


def join(path: str, key: str) -> str:
    """Returns: the JSON path of a key below a path."""
    if key.isidentifier() and key.isascii():
        return f"{path}.{key}"
    return f"{path}[{json.dumps(key)}]"


def describe(value: object) -> str:
    """Returns: the JSON type of a value; strings may be secret."""
    match value:
        case None:
            return "null"
        case bool():
            return "true" if value else "false"
        case int() | float():
            return f"the number {_shorten(str(value))}"
        case str():
            return "a string"
        case list():
            return "a list"
        case _:
            return "an object"


def _shorten(text: str) -> str:
    return text if len(text) <= 40 else text[:37] + "..."


def check_range(
    value: int | float | None,
    least: int | float,
    most: int | float | None,
    path: str,
    problems: list[Problem],
) -> None:
    """Report a number outside least to most, both included."""
    if value is None:
        return
    if not least <= value <= (MAX_INTEGER if most is None else most):
        wanted = f"{least} or more" if most is None else f"{least} to {most}"
        if value > MAX_INTEGER:
            wanted = f"{least} to {MAX_INTEGER if most is None else most}"
        problems.append(
            Problem(
                path,
                f"{_shorten(str(value))} is out of range",
                f"give {wanted}",
            )
        )


def check_name(
    value: str | None,
    path: str,
    problems: list[Problem],
    pattern: re.Pattern = NAME,
) -> None:
    """Report a name that does not match NAME or another pattern."""
    if value is not None and not pattern.fullmatch(value):
        marks = "._:/-" if pattern is MODEL_NAME else "._-"
        problems.append(
            Problem(
                path,
                f"{json.dumps(_shorten(value))} is not a valid name",
                f"use 1 to 128 letters, digits and {marks}, starting with a"
                " letter or digit",
            )
        )


def check_address(
    value: str | None, path: str, problems: list[Problem]
) -> None:
    """Report a string that is not IP:PORT."""
    if value is not None and not _is_address(value):
        problems.append(
            Problem(
                path,
                f"{json.dumps(_shorten(value))} is not IP:PORT",
                "give an address such as 10.0.0.7:8000 or [fd00::7]:8000",
            )
        )


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return False
    if port[0] == "0" or not 1 <= int(port) <= 65535:
        return False
    try:
        if host.startswith("[") and host.endswith("]"):
            return bool(ipaddress.IPv6Address(host[1:-1]))
        return bool(ipaddress.IPv4Address(host))
    except ValueError:
        return False
