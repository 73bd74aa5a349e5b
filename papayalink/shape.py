"""Conversion of JSON to msgspec structs that reports every problem."""

import difflib
import ipaddress
import json
import math
import re

import msgspec
from msgspec import inspect

# JSON parsers that use floating point lose digits of larger integers, and
# MessagePack cannot represent more than 64 bits.
MAX_INTEGER = 2**53

# Limited to characters that are safe in URLs, file names and log lines.
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
# Models keep their published names, such as "group/model:variant".
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


class _ObjectWithRepeatedKeys(dict):
    """JSON object that records which of its keys were repeated."""

    __slots__ = ("repeated_keys",)


def parse(data: bytes) -> tuple[object, list[Problem]]:
    """Decode JSON and record repeated keys, which `build` reports.

    Returns:
        The value and no problems, or None and one problem.
    """
    try:
        # msgspec checks the syntax, since it is stricter than json.
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
    """Returns: whether an object in valid JSON repeats a key."""
    is_repeated = False

    def check(pairs: list[tuple[str, object]]) -> None:
        nonlocal is_repeated
        is_repeated = is_repeated or len(dict(pairs)) != len(pairs)

    json.loads(data, object_pairs_hook=check)
    return is_repeated


def _make_object(pairs: list[tuple[str, object]]) -> dict:
    unique = dict(pairs)
    if len(unique) == len(pairs):
        return unique
    seen = set()
    json_object = _ObjectWithRepeatedKeys(unique)
    json_object.repeated_keys = sorted(
        {key for key, _ in pairs if key in seen or seen.add(key)}
    )
    return json_object


def build(
    value: object,
    expected_type: inspect.Type,
    path: str,
    problems: list[Problem],
) -> object:
    """Convert a decoded JSON value to a type, reporting every problem.

    Args:
        value: decoded JSON.
        expected_type: type to build, from `msgspec.inspect.type_info`.
        path: JSON path of the value.
        problems: list to which one problem for each wrong value is added.

    Returns:
        The typed value, with None in place of each wrong value.
    """
    match expected_type:
        case inspect.StructType():
            return _build_struct(value, expected_type, path, problems)
        case inspect.VarTupleType():
            if isinstance(value, list):
                return tuple(
                    build(
                        item,
                        expected_type.item_type,
                        f"{path}[{index}]",
                        problems,
                    )
                    for index, item in enumerate(value)
                )
            expected = "a list"
        case inspect.DictType():
            if isinstance(value, dict):
                _report_repeated_keys(value, path, problems)
                return {
                    key: build(
                        item,
                        expected_type.value_type,
                        join(path, key),
                        problems,
                    )
                    for key, item in value.items()
                }
            expected = "an object"
        case inspect.BoolType():
            if isinstance(value, bool):
                return value
            expected = "true or false"
        case inspect.IntType():
            if isinstance(value, int) and not isinstance(value, bool):
                return _build_integer(value, path, problems)
            expected = "a whole number"
        case inspect.FloatType():
            if isinstance(value, (int, float)) and not isinstance(value, bool):
                if abs(value) <= MAX_INTEGER and math.isfinite(value):
                    return float(value)
                expected = "a smaller number"
            else:
                expected = "a number"
        case inspect.StrType():
            if isinstance(value, str):
                return value
            expected = "a string"
        case inspect.UnionType(types=(inner_type, inspect.NoneType())):
            if value is None:
                return None
            return build(value, inner_type, path, problems)
        case _:
            raise TypeError(f"unsupported type {expected_type}")
    problems.append(
        Problem(path, f"is {describe(value)}", f"give {expected} instead")
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
    struct_type: inspect.StructType,
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
    known_keys = [field.encode_name for field in struct_type.fields]
    if struct_type.tag_field is not None:
        known_keys.append(struct_type.tag_field)
    _report_repeated_keys(value, path, problems)
    for key in value:
        if key not in known_keys:
            problems.append(_unknown_key(key, known_keys, path))
    fields = {}
    for field in struct_type.fields:
        if field.encode_name in value:
            fields[field.name] = build(
                value[field.encode_name],
                field.type,
                join(path, field.encode_name),
                problems,
            )
        elif field.required:
            fields[field.name] = None
            problems.append(
                Problem(
                    join(path, field.encode_name), "is missing", "add this key"
                )
            )
    return struct_type.cls(**fields)


def _unknown_key(key: str, known_keys: list[str], path: str) -> Problem:
    close_matches = difflib.get_close_matches(key, known_keys, n=1, cutoff=0.5)
    if close_matches:
        fix = f'did you mean "{close_matches[0]}"?'
    else:
        fix = f"remove it; known keys: {', '.join(sorted(known_keys))}"
    return Problem(join(path, key), "is an unknown key", fix)


def _report_repeated_keys(
    value: dict, path: str, problems: list[Problem]
) -> None:
    if isinstance(value, _ObjectWithRepeatedKeys):
        for key in value.repeated_keys:
            problems.append(
                Problem(join(path, key), "is given twice", "keep one of them")
            )


def join(path: str, key: str) -> str:
    """Returns: the JSON path of a key of the object at a path."""
    if key.isidentifier() and key.isascii():
        return f"{path}.{key}"
    return f"{path}[{json.dumps(key)}]"


def describe(value: object) -> str:
    """Returns: description of a JSON value.

    The content of strings is left out, since it may be secret.
    """
    match value:
        case None:
            return "null"
        case bool():
            return "true" if value else "false"
        case int() | float():
            return f"the number {_truncate(str(value))}"
        case str():
            return "a string"
        case list():
            return "a list"
        case _:
            return "an object"


def _truncate(text: str) -> str:
    return text if len(text) <= 40 else text[:37] + "..."


def check_range(
    value: int | float | None,
    minimum: int | float,
    maximum: int | float | None,
    path: str,
    problems: list[Problem],
) -> None:
    """Report a number that is not between minimum and maximum (inclusive).

    A maximum of None stands for MAX_INTEGER, a value of None for one that was
    reported already.
    """
    if value is None:
        return
    if not minimum <= value <= (MAX_INTEGER if maximum is None else maximum):
        expected = (
            f"{minimum} or more"
            if maximum is None
            else f"{minimum} to {maximum}"
        )
        if value > MAX_INTEGER:
            expected = (
                f"{minimum} to {MAX_INTEGER if maximum is None else maximum}"
            )
        problems.append(
            Problem(
                path,
                f"{_truncate(str(value))} is out of range",
                f"give {expected}",
            )
        )


def check_name(
    value: str | None,
    path: str,
    problems: list[Problem],
    pattern: re.Pattern = NAME,
) -> None:
    """Report a name that does not match the pattern."""
    if value is not None and not pattern.fullmatch(value):
        punctuation = "._:/-" if pattern is MODEL_NAME else "._-"
        problems.append(
            Problem(
                path,
                f"{json.dumps(_truncate(value))} is not a valid name",
                f"use 1 to 128 letters, digits and {punctuation}, starting"
                " with a letter or digit",
            )
        )


def check_address(
    value: str | None, path: str, problems: list[Problem]
) -> None:
    """Report an address that is not IP:PORT."""
    if value is not None and not _is_address(value):
        problems.append(
            Problem(
                path,
                f"{json.dumps(_truncate(value))} is not IP:PORT",
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
