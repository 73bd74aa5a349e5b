"""Settings of processes that a platform places and configures."""

import os
import pathlib

import msgspec
from msgspec import inspect
import result

from papayalink import settings as settings_module
from papayalink import shape


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform sets for the processes.

    Attributes:
        grace_s: time between the signal to stop and the kill.
        lease_ms: minimum time between orders of two holders to an upstream.
        retry_ratio, retry_slack: all entries together may make retries for
            this fraction of the calls in retry_window_s, plus this number. A
            platform that scales a deployment scales the number as well, so it
            need not be whole.
        weights_ms: time in which replicas are to load named weights.
        losses: number of control members that may be lost at once.
    """

    grace_s: float = 8.0
    lease_ms: float = 3_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_s: float = 10.0
    weights_ms: float = 10_000.0
    losses: int = 1


class NodeSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    tag_field="role",
):
    """Settings of all roles.

    Attributes:
        name: name of the VM, unique in the deployment.
        seeds: operator addresses "IP:PORT" of some control members.
        peer_port: port on which control members accept RPCs of nodes.
        platform_address: "IP:PORT" of the list of replicas.
        inspect_listen: "IP:PORT" of state dump, metrics and health.
        deployment_key: hex, the same on all nodes.
    """

    name: str
    ip: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    peer_port: int
    platform_address: str
    inspect_listen: str
    deployment_key: str
    bounds: Bounds = Bounds()

    @property
    def role(self) -> str:
        """Returns: name of the role."""
        return self.__struct_config__.tag

    @property
    def key(self) -> bytes:
        """Returns: the deployment key."""
        return bytes.fromhex(self.deployment_key)

    @property
    def seed_peers(self) -> tuple[str, ...]:
        """Returns: "IP:PORT" on which each seed accepts RPCs of nodes."""
        return tuple(
            f"{seed.rpartition(':')[0]}:{self.peer_port}"
            for seed in self.seeds
        )

    def __repr__(self) -> str:
        # The fields hold secrets, and a repr may end up in a log.
        return f"{type(self).__name__}(name={self.name!r})"


class Gateway(NodeSettings, frozen=True, kw_only=True, tag="gateway"):
    """Settings of a gateway.

    Attributes:
        listen: "IP:PORT" for callers.
        ready_listen: "IP:PORT" for readiness checks of the balancer.
    """

    listen: str
    ready_listen: str


class Authority(NodeSettings, frozen=True, kw_only=True, tag="authority"):
    """Settings of a control member that holds numbered documents.

    Attributes:
        operator_listen: "IP:PORT" for operators.
        data_folder: folder that holds all files; null on a VM without a disk,
            whose member follows the group and never votes.
        first_start: the deployment starts for the first time, with empty
            disks.
    """

    operator_listen: str
    data_folder: str | None
    first_start: bool = False


ROLES = {kind.__struct_config__.tag: kind for kind in (Gateway, Authority)}


def load(
    path: str | os.PathLike, role: str
) -> result.Result[NodeSettings, list[shape.Problem]]:
    """Read and check a settings file.

    Returns: the settings of the role, or all problems.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        problem = shape.Problem(
            str(path),
            f"not readable: {error.strerror}",
            "give the path of a settings file that this user can read",
        )
        return result.Err([problem])
    value, problems = shape.parse(data)
    if problems:
        return result.Err(problems)
    kind = ROLES.get(role)
    if kind is None or not isinstance(value, dict):
        problem = shape.Problem(
            "$.role", f"there is no role {role}", f"one of {', '.join(ROLES)}"
        )
        return result.Err([problem])
    settings = shape.build(value, inspect.type_info(kind), "$", problems)
    if problems:
        return result.Err(problems)
    _check(settings, problems)
    return result.Err(problems) if problems else result.Ok(settings)


def _check(settings: NodeSettings, problems: list[shape.Problem]) -> None:
    for field in ("name", "zone", "region"):
        shape.check_name(getattr(settings, field), f"$.{field}", problems)
    addresses = ["platform_address", "inspect_listen"]
    match settings:
        case Gateway():
            addresses += ["listen", "ready_listen"]
        case Authority():
            addresses.append("operator_listen")
            if settings.data_folder == "":
                problems.append(
                    shape.Problem("$.data_folder", "is empty", "name a folder")
                )
    _check_bounds(settings.bounds, problems)
    for field in addresses:
        shape.check_address(getattr(settings, field), f"$.{field}", problems)
    if not settings.seeds:
        problems.append(
            shape.Problem("$.seeds", "is empty", "name a control member")
        )
    for index, seed in enumerate(settings.seeds):
        shape.check_address(seed, f"$.seeds[{index}]", problems)
    shape.check_range(settings.peer_port, 1, 65_535, "$.peer_port", problems)
    if not settings_module.is_valid_key(settings.deployment_key):
        problems.append(
            shape.Problem(
                "$.deployment_key",
                "is not a hex key of at least"
                f" {settings_module.MIN_KEY_BYTES} bytes",
                f"give {2 * settings_module.MIN_KEY_BYTES} or more hex digits",
            )
        )


def _check_bounds(bounds: Bounds, problems: list[shape.Problem]) -> None:
    for field in bounds.__struct_fields__:
        shape.check_range(
            getattr(bounds, field), 0, None, f"$.bounds.{field}", problems
        )
