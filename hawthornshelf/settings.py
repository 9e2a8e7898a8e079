"""Read and validate the settings of a process from flags and the environment."""

import ipaddress
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

from hawthornshelf.errors import SettingError

__all__ = [
    "HEDGE_SHARE",
    "SETTINGS",
    "Setting",
    "SettingValue",
    "Settings",
    "read_setting",
    "read_settings",
]

ENVIRONMENT_PREFIX = "HAWTHORNSHELF_"
NAME_CHARACTERS = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-")
MAX_NAME_LENGTH = 63
MAX_HEDGE_SHARE = 0.2
"""Highest share of hedges: what they add to the load of runners stays below a fifth."""


class Settings(NamedTuple):
    """Represent the valid settings of a process."""

    node: str
    roles: frozenset[str]
    data_centre: str
    listen: str
    peer_listen: str
    advertise: str
    peer_advertise: str
    control: dict[str, str]
    peers: dict[str, str]
    data: Path | None
    group: str
    platform: str
    linger: timedelta
    election: timedelta
    log_level: str
    operator_token: str
    seed: int


class Setting(NamedTuple):
    """Describe a setting: its flag, parser, allowed values, default and help."""

    name: str
    parse: Callable[[str], Any]
    allowed: str
    default: str | None
    help: str
    secret: bool = False

    @property
    def variable(self) -> str:
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.name.upper().replace("-", "_")

    @property
    def field(self) -> str:
        """Return the name of the field in Settings."""
        return self.name.replace("-", "_")


class SettingValue(NamedTuple):
    """Represent the text of a setting and its origin."""

    setting: Setting
    text: str
    origin: str

    def display_text(self) -> str:
        """Return the text to print; secrets are hidden."""
        return "(hidden)" if self.setting.secret and self.text else self.text


def read_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> tuple[Settings, list[SettingValue]]:
    """Return the settings; raise an ExceptionGroup of SettingError for all errors."""
    values = [_resolve_value(setting, flags, environment) for setting in SETTINGS]
    errors: list[SettingError] = []
    fields: dict[str, Any] = {}
    for value in values:
        try:
            fields[value.setting.field] = value.setting.parse(value.text)
        except ValueError:
            errors.append(_make_error(value))
    if not errors:
        errors.extend(_check_dependencies(fields))
    if errors:
        raise ExceptionGroup("bad settings", errors)
    return Settings(**fields), values


def read_setting(
    setting: Setting, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Any:
    """Return the value of one setting; raise SettingError, which names its origin."""
    value = _resolve_value(setting, flags, environment)
    try:
        return setting.parse(value.text)
    except ValueError as error:
        name = setting.name
        if value.origin == setting.variable:
            name = f"{name} ({setting.variable})"
        raise SettingError(name, value.display_text(), setting.allowed) from error


def _resolve_value(
    setting: Setting, flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> SettingValue:
    flag = flags.get(setting.name)
    if flag is not None:
        return SettingValue(setting, flag, f"--{setting.name}")
    if setting.variable in environment:
        return SettingValue(setting, environment[setting.variable], setting.variable)
    return SettingValue(setting, setting.default or "", "default")


def _make_error(value: SettingValue) -> SettingError:
    return SettingError(value.setting.name, value.display_text(), value.setting.allowed)


def _check_dependencies(fields: Mapping[str, Any]) -> list[SettingError]:
    errors = []
    if "control" in fields["roles"]:
        if fields["data"] is None:
            allowed = "a folder, because the roles include control"
            errors.append(SettingError("data", "", allowed))
        if fields["node"] not in fields["control"]:
            allowed = f"a list with {fields['node']}, because its roles include control"
            errors.append(
                SettingError("control", _format_addresses(fields["control"]), allowed)
            )
    return errors


def _format_addresses(addresses: Mapping[str, str]) -> str:
    return ",".join(f"{name}={address}" for name, address in addresses.items())


def _parse_name(text: str) -> str:
    if not text or len(text) > MAX_NAME_LENGTH or not NAME_CHARACTERS.issuperset(text):
        raise ValueError(text)
    return text


def _parse_address(text: str) -> str:
    host, separator, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not separator or not 1 <= int(port) <= 65535:
        raise ValueError(text)
    return text


def _parse_optional_address(text: str) -> str:
    return _parse_address(text) if text else ""


def _parse_addresses(text: str) -> dict[str, str]:
    pairs = [item.partition("=") for item in text.split(",") if item]
    addresses = {_parse_name(name): _parse_address(a) for name, _, a in pairs}
    if len(addresses) != len(pairs):
        raise ValueError(text)
    return addresses


def _parse_nonempty_addresses(text: str) -> dict[str, str]:
    addresses = _parse_addresses(text)
    if not addresses:
        raise ValueError(text)
    return addresses


def _parse_roles(text: str) -> frozenset[str]:
    roles = frozenset(text.split(","))
    if not roles or not roles <= {"entry", "control"}:
        raise ValueError(text)
    return roles


def _parse_seconds(low: float, high: float) -> Callable[[str], timedelta]:
    def parse(text: str) -> timedelta:
        seconds = float(text)
        if not low <= seconds <= high:
            raise ValueError(text)
        return timedelta(seconds=seconds)

    return parse


def _parse_hedge_share(text: str) -> float:
    share = float(text)
    if not 0.0 <= share <= MAX_HEDGE_SHARE:
        raise ValueError(text)
    return share


def _parse_folder(text: str) -> Path | None:
    return Path(text) if text else None


def _parse_url(text: str) -> str:
    if text and not text.startswith(("http://", "https://")):
        raise ValueError(text)
    return text.rstrip("/")


def _parse_level(text: str) -> str:
    if text not in ("debug", "info", "error"):
        raise ValueError(text)
    return text


def _parse_seed(text: str) -> int:
    seed = int(text)
    if seed < 0:
        raise ValueError(text)
    return seed


_NAME = f"1 to {MAX_NAME_LENGTH} of a-z, 0-9 and -"
_ADDRESSES = "comma-separated name=ip:port pairs"

SETTINGS: tuple[Setting, ...] = (
    Setting("node", _parse_name, _NAME, None, "name of this VM"),
    Setting(
        "roles", _parse_roles, "entry, control or both", "entry", "roles of this node"
    ),
    Setting("data-centre", _parse_name, _NAME, None, "data centre of this VM"),
    Setting(
        "listen", _parse_address, "ip:port", None, "address for callers and operators"
    ),
    Setting("peer-listen", _parse_address, "ip:port", None, "address for other nodes"),
    Setting(
        "advertise",
        _parse_optional_address,
        "ip:port",
        "",
        "address given to callers, if not the one listened on",
    ),
    Setting(
        "peer-advertise",
        _parse_optional_address,
        "ip:port",
        "",
        "address given to other nodes, if not the one listened on",
    ),
    Setting(
        "control",
        _parse_nonempty_addresses,
        _ADDRESSES,
        None,
        "peer addresses of the control nodes",
    ),
    Setting("peers", _parse_addresses, _ADDRESSES, "", "peer addresses to gossip with"),
    Setting("data", _parse_folder, "a folder", "", "data folder, needed by control"),
    Setting("group", _parse_name, _NAME, "main", "name of the control group"),
    Setting(
        "platform", _parse_url, "an http or https URL", "", "the platform's list of VMs"
    ),
    Setting(
        "linger",
        _parse_seconds(0, 600),
        "0 to 600 seconds",
        "10",
        "seconds that address responses stay valid and a leaving node keeps serving",
    ),
    Setting(
        "election",
        _parse_seconds(0.2, 60),
        "0.2 to 60 seconds",
        "1",
        "seconds without a leader before an election",
    ),
    Setting(
        "log-level",
        _parse_level,
        "debug, info or error",
        "info",
        "least severe level that is logged",
    ),
    Setting(
        "operator-token",
        str,
        "any text",
        "",
        "token that operators must send",
        secret=True,
    ),
    Setting(
        "seed", _parse_seed, "a whole number from 0", "0", "random seed, 0 for any"
    ),
)

HEDGE_SHARE = Setting(
    "hedge-share",
    _parse_hedge_share,
    f"0 to {MAX_HEDGE_SHARE}",
    "0",
    "most requests of a service that go to a second runner too, as a share; 0 is off",
)
"""Setting of processes that forward by a route document; `serve` has no use for it."""
