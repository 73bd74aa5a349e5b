"""Process settings."""

import msgspec
import result


class _Common(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, tag_field="role"
):
    name: str
    zone: str
    region: str = ""
    listen: str = ""
    rpc_listen: str = ""
    inspect_listen: str = ""
    controls: dict[str, str]
    deployment_key: str

    @property
    def role(self) -> str:
        return self.__struct_config__.tag


class EntrySettings(_Common, tag="entry"):
    pass


class AgentSettings(_Common, tag="agent"):
    upstream: str
    upstream_address: str
    upstream_kind: str = "engine"


class StoreSettings(_Common, tag="store"):
    data_folder: str
    memory_bytes: int
    disk_bytes: int


class ControlSettings(_Common, tag="control"):
    data_folder: str
    console_listen: str = ""
    console_token: str = ""
    platform_address: str = ""
    weights_address: str = ""
    join: bool = False


Settings = EntrySettings | AgentSettings | StoreSettings | ControlSettings


def load(path: str):
    with open(path, "rb") as f:
        try:
            return result.Ok(msgspec.json.decode(f.read(), type=Settings))
        except msgspec.MsgspecError as error:
            return result.Err([str(error)])


def deployment_key(settings) -> bytes:
    return bytes.fromhex(settings.deployment_key)
