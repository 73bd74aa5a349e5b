"""Process settings: one JSON file for each process."""

import json
import os
import pathlib
import tempfile

import msgspec
from msgspec import inspect
import result

from papayalink import shape

SettingsProblem = shape.Problem

# Output size of HMAC-SHA256: a shorter key weakens it, and a longer one does
# not strengthen it.
MIN_KEY_BYTES = 32
# Only the length of the token protects the console against guessing.
MIN_CONSOLE_TOKEN_LENGTH = 16

# A platform kills a process some time after it asked the process to stop, and
# requests in flight need the time that remains after the delay.
MAX_DRAIN_DELAY_S = 60

UPSTREAM_KINDS = ("engine", "service")


class Settings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    tag_field="role",
):
    """Settings that all roles have.

    Attributes:
        name: name of the process, unique in the deployment.
        zone: availability zone of the process.
        region: region of the process.
        inspect_listen: "IP:PORT" that serves state dump, metrics and health.
        controls: RPC "IP:PORT" of each control member by its name.
        deployment_key: hex; `load` fills it from deployment_key_file.
        deployment_key_file: relative to the settings file; given in place
            of deployment_key.
    """

    name: str
    zone: str
    region: str
    inspect_listen: str
    controls: dict[str, str]
    deployment_key: str = ""
    deployment_key_file: str = ""

    @property
    def role(self) -> str:
        """Returns: name of the role."""
        return self.__struct_config__.tag

    @property
    def key(self) -> bytes:
        """Returns: the deployment key."""
        return bytes.fromhex(self.deployment_key)

    def __repr__(self) -> str:
        # Fields may hold secrets, and a repr may be logged.
        return f"{type(self).__name__}(name={self.name!r})"


class Entry(Settings, frozen=True, kw_only=True, tag="entry"):
    """Settings of an entry.

    Attributes:
        listen: "IP:PORT" for callers.
        drain_delay_s: seconds during which a stopping entry fails its health
            check but still accepts requests, so that the load balancer stops
            sending requests before the entry refuses them.
    """

    listen: str
    drain_delay_s: float = 5.0


class Agent(Settings, frozen=True, kw_only=True, tag="agent"):
    """Settings of an agent.

    Attributes:
        listen: "IP:PORT" for entries and control members.
        upstream: name of the upstream in the document.
        upstream_address: "IP:PORT" of the upstream.
        upstream_kind: "engine" or "service".
    """

    listen: str
    upstream: str
    upstream_address: str
    upstream_kind: str = "engine"


class Store(Settings, frozen=True, kw_only=True, tag="store"):
    """Settings of a store.

    Attributes:
        listen: "IP:PORT" for agents.
        data_folder: folder of all files; relative to the settings file.
        memory_bytes, disk_bytes: capacity for pieces.
    """

    listen: str
    data_folder: str
    memory_bytes: int
    disk_bytes: int


class Control(Settings, frozen=True, kw_only=True, tag="control"):
    """Settings of a control member.

    Attributes:
        rpc_listen: "IP:PORT" for all other processes.
        data_folder: folder of all files; relative to the settings file.
        console_listen: "IP:PORT" of the console.
        console_token: bearer token or password that operators give.
        platform_address: "IP:PORT" of the platform's list of VMs, "" for
            none.
        weights_address: "IP:PORT" of the weight store, in which versions are
            looked up before replicas load them; "" for no look-up.
        join: whether the member joins a group that is already running.
    """

    rpc_listen: str
    data_folder: str
    console_listen: str
    console_token: str
    platform_address: str = ""
    weights_address: str = ""
    join: bool = False


ROLES = {
    kind.__struct_config__.tag: kind for kind in (Entry, Agent, Store, Control)
}


def load(
    path: str | os.PathLike,
) -> result.Result[Settings, list[SettingsProblem]]:
    """Read and check a settings file.

    Returns:
        The settings of the role, with the deployment key read from its file
        and the data folder as an absolute path, or else all problems.
    """
    settings_path = pathlib.Path(path)
    try:
        data = settings_path.read_bytes()
    except OSError as error:
        return result.Err(
            [
                SettingsProblem(
                    str(settings_path),
                    f"not readable: {error.strerror}",
                    "give the path of a settings file that this user can read",
                )
            ]
        )
    value, problems = shape.parse(data)
    if problems:
        return result.Err(problems)
    settings_type = _find_settings_type(value, problems)
    if settings_type is None:
        return result.Err(problems)
    settings = shape.build(
        value, inspect.type_info(settings_type), "$", problems
    )
    _check_common(settings, problems)
    match settings:
        case Entry():
            shape.check_range(
                settings.drain_delay_s,
                0,
                MAX_DRAIN_DELAY_S,
                "$.drain_delay_s",
                problems,
            )
        case Agent():
            _check_agent(settings, problems)
        case Store():
            _check_store(settings, problems)
        case Control():
            _check_control(settings, problems)
    settings = _resolve_files(
        settings, settings_path.absolute().parent, problems
    )
    return result.Err(problems) if problems else result.Ok(settings)


def _find_settings_type(
    value: object, problems: list[SettingsProblem]
) -> type[Settings] | None:
    if not isinstance(value, dict):
        problems.append(
            SettingsProblem(
                "$", f"is {shape.describe(value)}", "give one object"
            )
        )
        return None
    role = value.get("role")
    if isinstance(role, str) and role in ROLES:
        return ROLES[role]
    if "role" not in value:
        text = "is missing"
    elif isinstance(role, str):
        text = f"there is no role {json.dumps(role[:40])}"
    else:
        text = f"is {shape.describe(role)}"
    problems.append(
        SettingsProblem("$.role", text, f"give one of: {', '.join(ROLES)}")
    )
    return None


def _check_common(settings: Settings, problems: list) -> None:
    for field in ("name", "zone", "region"):
        shape.check_name(getattr(settings, field), f"$.{field}", problems)
    listen_fields = ["inspect_listen", "listen"]
    if isinstance(settings, Control):
        listen_fields = ["inspect_listen", "rpc_listen", "console_listen"]
    _check_addresses(settings, listen_fields, problems)
    controls = settings.controls
    if controls == {}:
        problems.append(
            SettingsProblem(
                "$.controls",
                "names no control member",
                "add the name and RPC address of each member",
            )
        )
    first_names = {}
    for name, address in (controls or {}).items():
        path = shape.join("$.controls", name)
        shape.check_name(name, path, problems)
        shape.check_address(address, path, problems)
        if (
            address is not None
            and first_names.setdefault(address, name) != name
        ):
            problems.append(
                SettingsProblem(
                    path,
                    f"is also the address of {first_names[address]}",
                    "give each member its own address",
                )
            )


def _check_addresses(
    settings: Settings, fields: list[str], problems: list
) -> None:
    first_fields = {}
    for field in fields:
        address = getattr(settings, field)
        if address is None:
            continue
        shape.check_address(address, f"$.{field}", problems)
        if first_fields.setdefault(address, field) != field:
            problems.append(
                SettingsProblem(
                    f"$.{field}",
                    f"is the same as {first_fields[address]}",
                    "give another port",
                )
            )


def _check_agent(settings: Agent, problems: list) -> None:
    shape.check_name(settings.upstream, "$.upstream", problems)
    shape.check_address(
        settings.upstream_address, "$.upstream_address", problems
    )
    kind = settings.upstream_kind
    if kind is not None and kind not in UPSTREAM_KINDS:
        problems.append(
            SettingsProblem(
                "$.upstream_kind",
                f"{json.dumps(kind[:40])} is not a kind of upstream",
                'use "engine" or "service"',
            )
        )


def _check_store(settings: Store, problems: list) -> None:
    for field in ("memory_bytes", "disk_bytes"):
        shape.check_range(
            getattr(settings, field), 1, None, f"$.{field}", problems
        )


def _check_control(settings: Control, problems: list) -> None:
    for field in ("platform_address", "weights_address"):
        if address := getattr(settings, field):
            shape.check_address(address, f"$.{field}", problems)
    token = settings.console_token
    if token is not None and not (
        len(token) >= MIN_CONSOLE_TOKEN_LENGTH
        and token.isascii()
        and token.isprintable()
        and " " not in token
    ):
        problems.append(
            SettingsProblem(
                "$.console_token",
                "is too short, or has spaces or other than ASCII characters",
                f"give {MIN_CONSOLE_TOKEN_LENGTH} or more ASCII characters"
                " without spaces",
            )
        )
    if None in (settings.name, settings.controls, settings.join):
        return
    if not settings.join and settings.name not in settings.controls:
        problems.append(
            SettingsProblem(
                "$.controls",
                f"does not name this member, {settings.name}",
                "add it, or set join to true for a new member",
            )
        )


def _resolve_files(
    settings: Settings, folder: pathlib.Path, problems: list
) -> Settings:
    resolved_fields = {}
    if isinstance(settings, (Store, Control)) and settings.data_folder:
        data_folder = folder / settings.data_folder
        resolved_fields["data_folder"] = str(data_folder)
        _check_data_folder(data_folder, problems)
    elif isinstance(settings, (Store, Control)):
        if settings.data_folder == "":
            problems.append(
                SettingsProblem("$.data_folder", "is empty", "name a folder")
            )
    if None in (settings.deployment_key, settings.deployment_key_file):
        return settings
    resolved_fields["deployment_key"] = _read_key(settings, folder, problems)
    return msgspec.structs.replace(settings, **resolved_fields)


def _check_data_folder(folder: pathlib.Path, problems: list) -> None:
    try:
        # Creating a file also detects a read-only file system, which the
        # permissions do not show.
        with tempfile.TemporaryFile(dir=folder):
            return
    except OSError as error:
        problems.append(
            SettingsProblem(
                "$.data_folder",
                f"cannot write in {folder}: {error.strerror}",
                "create the folder and let this user write in it",
            )
        )


def _read_key(settings: Settings, folder: pathlib.Path, problems: list) -> str:
    json_path = "$.deployment_key"
    key = settings.deployment_key
    if bool(key) == bool(settings.deployment_key_file):
        problems.append(
            SettingsProblem(
                json_path,
                (
                    "is given together with deployment_key_file"
                    if key
                    else "is missing"
                ),
                "give either deployment_key or deployment_key_file",
            )
        )
        return key
    if not key:
        json_path = "$.deployment_key_file"
        key_path = folder / settings.deployment_key_file
        try:
            key = key_path.read_text(encoding="ascii").strip()
        except OSError as error:
            problems.append(
                SettingsProblem(
                    json_path,
                    f"cannot read {key_path}: {error.strerror}",
                    "give the path of a file that this user can read",
                )
            )
            return ""
        except UnicodeDecodeError:
            key = ""
    if not is_valid_key(key):
        problems.append(
            SettingsProblem(
                json_path,
                f"is not a hex key of at least {MIN_KEY_BYTES} bytes",
                f"give {2 * MIN_KEY_BYTES} or more random hex digits",
            )
        )
    return key


def is_valid_key(key: str) -> bool:
    try:
        return len(bytes.fromhex(key)) >= MIN_KEY_BYTES
    except ValueError:
        return False
