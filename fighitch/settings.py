"""Typed settings of the daemons and the client, read from JSON with comments."""

import ipaddress
import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal, TypeAlias, TypeVar, get_type_hints
from urllib.parse import urlsplit

import msgspec
from expression import Error, Ok, Result
from msgspec import inspect as types

from fighitch.core.commented_json import KeyPath, line_of, parse_commented_json
from fighitch.core.tickets import SharedKey

MIN_SECRET_BYTES = 16
# A message between our own processes has at most 4 MiB; the rest is for its envelope.
MAX_BODY_BYTES = 4 * 1024 * 1024 - 64 * 1024
MAX_HTTP_WORKERS = 4_096
MAX_PORT = 65_535
REDACTED = "(not shown)"

_ADDRESS = "ip:port, such as '10.0.0.7:8080' or '[fd00::7]:8080'"
_URL = "an http or https URL, such as 'http://10.0.0.7:8080', or '' for none"
_NAME = "letters, digits, '-', '_' and '.', starting with a letter or digit"
_KEY_ID = "letters, digits, '-' and '_'"
_SECRET = f"at least {MIN_SECRET_BYTES} bytes in hexadecimal digits"


class _Format(Enum):
    """Formats of strings that a type alone does not describe."""

    ADDRESS = _ADDRESS
    URL = _URL
    NAME = _NAME
    KEY_ID = _KEY_ID
    SECRET = _SECRET


def _format(kind: _Format) -> msgspec.Meta:
    return msgspec.Meta(extra={"format": kind})


Address: TypeAlias = Annotated[str, _format(_Format.ADDRESS)]
Url: TypeAlias = Annotated[str, _format(_Format.URL)]
Name: TypeAlias = Annotated[str, _format(_Format.NAME)]
KeyId: TypeAlias = Annotated[str, _format(_Format.KEY_ID)]
Secret: TypeAlias = Annotated[str, _format(_Format.SECRET)]
PositiveInt: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]


class ReloadRule(Enum):
    """When a changed key takes effect."""

    RELOAD = "reload"
    RESTART = "restart"


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all settings: immutable, unknown keys are errors."""


class SharedKeySettings(_Settings, frozen=True, kw_only=True):
    """A key that the project's own processes share.

    Attributes:
        key_id: Name of the key, sent along with what it signs.
        secret: The key itself.
    """

    key_id: KeyId
    secret: Secret

    def __repr__(self) -> str:
        return f"SharedKeySettings(key_id={self.key_id!r}, secret={REDACTED})"

    @property
    def key(self) -> SharedKey:
        """The key in the form that signing functions take."""
        return SharedKey(self.key_id, bytes.fromhex(self.secret))


class LogSettings(_Settings, frozen=True, kw_only=True):
    """Where log lines go and which.

    Attributes:
        level: Least severe level that is written.
        file: Path of the log file; empty writes to standard error.
    """

    level: Literal["debug", "info", "notice", "warning", "error", "critical"] = "info"
    file: str = ""


class TraceSettings(_Settings, frozen=True, kw_only=True):
    """Where trace spans go.

    Attributes:
        exporter: Destination of finished spans.
        path: File of the ``file`` exporter.
    """

    exporter: Literal["none", "console", "file"] = "none"
    path: str = ""


class BackendSettings(_Settings, frozen=True, kw_only=True):
    """The backend server beside a sidecar.

    Attributes:
        type: Protocol that it speaks.
        url: Its base URL.
        service: Name of a plain service; empty for an engine.
        model: Base model of an engine; empty for a plain service.
        adapter_slots: Adapters that the engine holds at once.
        batch_size: Requests that it runs at once.
        checks_fencing: Whether it refuses commands with an old fencing token.
    """

    type: Literal["engine", "service"]
    url: Url
    service: str = ""
    model: str = ""
    adapter_slots: PositiveInt = 8
    batch_size: PositiveInt = 16
    checks_fencing: bool = False


class EntrySettings(_Settings, frozen=True, kw_only=True):
    """Settings of ``fighitch entry``.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        availability_zone: Availability zone of this instance.
        region: Region of this instance.
        http_address: Address on which callers are served.
        admin_address: Address for metrics, health checks and operators.
        shared_keys: Keys shared by the deployment's processes; the first one signs,
            all are accepted, which allows rotation.
        peers: Peer addresses of sidecars, used before any configuration is known.
        object_api: Base URL of the object API; empty runs without one.
        instance_list: URL of the platform's list of instances; empty for none.
        max_body_bytes: Largest body of a caller's request, in bytes.
        http_workers: Threads that serve callers; each request holds one until its
            answer is complete.
        drain_seconds: Longest drain at a planned stop, in seconds, after which the
            process exits with requests in flight; 0 waits for the last request.
        watch: Whether this entry watches the object API and so feeds its peers.
        log: Log output.
        traces: Trace output.
    """

    instance: Name
    availability_zone: Name
    region: str = ""
    http_address: Address
    admin_address: Address
    shared_keys: Annotated[tuple[SharedKeySettings, ...], msgspec.Meta(min_length=1)]
    peers: tuple[Address, ...] = ()
    object_api: Url = ""
    instance_list: Url = ""
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1, le=MAX_BODY_BYTES)] = 1_048_576
    http_workers: Annotated[int, msgspec.Meta(ge=1, le=MAX_HTTP_WORKERS)] = 128
    drain_seconds: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    watch: bool = False
    log: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()


class SidecarSettings(_Settings, frozen=True, kw_only=True):
    """Settings of ``fighitch sidecar``.

    Attributes:
        instance: Name of this instance, unique in the deployment.
        availability_zone: Availability zone of this instance.
        region: Region of this instance.
        peer_address: Address on which entries and other sidecars are accepted.
        admin_address: Address for metrics, health checks and operators.
        backend: The backend server beside this sidecar.
        shared_keys: Keys shared by the deployment's processes; the first one signs,
            all are accepted, which allows rotation.
        peers: Peer addresses of other sidecars, used before any configuration is
            known.
        object_api: Base URL of the object API; empty runs without one.
        ticket_epoch_seconds: Time after which the ticket epoch advances, in seconds;
            records of orders are kept for 6 epochs.
        log: Log output.
        traces: Trace output.
    """

    instance: Name
    availability_zone: Name
    region: str = ""
    peer_address: Address
    admin_address: Address
    backend: BackendSettings
    shared_keys: Annotated[tuple[SharedKeySettings, ...], msgspec.Meta(min_length=1)]
    peers: tuple[Address, ...] = ()
    object_api: Url = ""
    ticket_epoch_seconds: Annotated[float, msgspec.Meta(gt=0)] = 600.0
    log: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()


class ClientSettings(_Settings, frozen=True, kw_only=True):
    """Settings of the operators' client.

    Attributes:
        object_api: Base URL of the object API.
        entries: Admin addresses of the entries.
        sidecars: Admin addresses of the sidecars, asked by ``explain``.
        shared_keys: Keys shared by the deployment's processes; the first one signs
            configuration that is handed to entries.
        operator_key: Bearer key sent to the object API and the admin addresses; empty
            sends none.
        manager: Name under which ``apply`` records what it applied, to tell the
            changes of others from its own; empty takes the login name.
        timeout_seconds: Longest wait for one answer, in seconds.
        confirm_seconds: Longest wait for entries to confirm a change, in seconds.
    """

    object_api: Url
    entries: tuple[Address, ...] = ()
    sidecars: tuple[Address, ...] = ()
    shared_keys: tuple[SharedKeySettings, ...] = ()
    operator_key: str = ""
    manager: str = ""
    timeout_seconds: Annotated[float, msgspec.Meta(gt=0)] = 5.0
    confirm_seconds: Annotated[float, msgspec.Meta(ge=0)] = 5.0


_RELOAD, _RESTART = ReloadRule.RELOAD, ReloadRule.RESTART

# Reload rule of each key; it covers the keys of a nested object too. Addresses and
# identity need a restart because peers know the process by them. The client reads its
# settings at each start.
RELOAD_RULES: Mapping[type, Mapping[str, ReloadRule]] = {
    EntrySettings: {
        "instance": _RESTART,
        "availability_zone": _RESTART,
        "region": _RESTART,
        "http_address": _RESTART,
        "admin_address": _RESTART,
        "shared_keys": _RELOAD,
        "peers": _RELOAD,
        "object_api": _RESTART,
        "instance_list": _RESTART,
        "max_body_bytes": _RELOAD,
        "http_workers": _RESTART,
        "drain_seconds": _RELOAD,
        "watch": _RESTART,
        "log": _RELOAD,
        "traces": _RESTART,
    },
    SidecarSettings: {
        "instance": _RESTART,
        "availability_zone": _RESTART,
        "region": _RESTART,
        "peer_address": _RESTART,
        "admin_address": _RESTART,
        "backend": _RESTART,
        "shared_keys": _RELOAD,
        "peers": _RELOAD,
        "object_api": _RESTART,
        "ticket_epoch_seconds": _RESTART,
        "log": _RELOAD,
        "traces": _RESTART,
    },
    ClientSettings: {
        "object_api": _RESTART,
        "entries": _RESTART,
        "sidecars": _RESTART,
        "shared_keys": _RESTART,
        "operator_key": _RESTART,
        "manager": _RESTART,
        "timeout_seconds": _RESTART,
        "confirm_seconds": _RESTART,
    },
}

SETTINGS_TYPES: Mapping[str, type] = {
    "entry": EntrySettings,
    "sidecar": SidecarSettings,
    "client": ClientSettings,
}

_SECRET_KEYS = frozenset({"shared_keys", "operator_key"})


@dataclass(frozen=True, slots=True)
class SettingsFailure:
    """A settings file that cannot be used.

    Attributes:
        file: Path of the file.
        line: Line of the key, counted from 1; 0 if the file cannot be read.
        key: Dotted path of the key; empty for the whole file.
        problem: The bad value and what is wrong with it.
        allowed: What is allowed.
    """

    file: str
    line: int
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}:" if self.key else ""
        return f"{place}:{key} {self.problem}; allowed: {self.allowed}"


@dataclass(frozen=True, slots=True)
class _Problem:
    path: KeyPath
    problem: str
    allowed: str


_T = TypeVar("_T", bound=_Settings)


def load_settings(path: str | Path, type: type[_T]) -> Result[_T, SettingsFailure]:
    """Reads a settings file.

    Args:
        path: JSON file, in which comments are allowed.
        type: ``EntrySettings``, ``SidecarSettings`` or ``ClientSettings``.

    Returns:
        The settings, or the first fault with file, line, key and what is allowed.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = f"cannot be read: {error}"
        return Error(
            SettingsFailure(str(path), 0, "", problem, "a readable file in UTF-8")
        )
    return parse_settings(text, type, file=str(path))


def parse_settings(
    text: str, type: type[_T], *, file: str = "-"
) -> Result[_T, SettingsFailure]:
    """Reads settings from text.

    Args:
        text: JSON, in which comments are allowed.
        type: ``EntrySettings``, ``SidecarSettings`` or ``ClientSettings``.
        file: Name of the file for error messages.

    Returns:
        The settings, or the first fault.
    """
    parsed = parse_commented_json(text)
    if parsed.is_error():
        fault = parsed.error
        return Error(
            SettingsFailure(file, fault.line, "", fault.detail, "JSON with comments")
        )
    try:
        settings = msgspec.convert(parsed.ok, type)
        problem = next(_problems(settings, ()), None)
    except msgspec.ValidationError as error:
        problem = _conversion_problem(error, parsed.ok, type)
    if problem is None:
        return Ok(settings)
    line = line_of(text, problem.path)
    key = _dotted(problem.path)
    return Error(SettingsFailure(file, line, key, problem.problem, problem.allowed))


def keys_to_restart(old: _T, new: _T) -> tuple[str, ...]:
    """Returns the changed keys that a running process cannot take over.

    Args:
        old: Settings in use.
        new: Settings read at a reload.
    """
    rules = RELOAD_RULES[old.__class__]
    return tuple(
        key
        for key, rule in rules.items()
        if rule is ReloadRule.RESTART and getattr(old, key) != getattr(new, key)
    )


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an ``ip:port`` address.

    Raises:
        ValueError: If the address has another form.
    """
    host, colon, port = address.rpartition(":")
    ip = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    is_bracketed = host.startswith("[") and host.endswith("]")
    if not colon or is_bracketed != (ip.version == 6):
        raise ValueError(f"address {address!r} is not {_ADDRESS}")
    if not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to {MAX_PORT}")
    return str(ip), int(port)


def allowed_values(type: type, key: str) -> str:
    """Describes the values that a key of a settings class may have."""
    return _describe(types.type_info(get_type_hints(type, include_extras=True)[key]))


def _describe(info: types.Type) -> str:
    match info:
        case types.Metadata(extra={"format": kind}):
            return str(kind.value)
        case types.Metadata():
            return _describe(info.type)
        case types.BoolType():
            return "true or false"
        case types.LiteralType():
            return ", ".join(f"'{value}'" for value in info.values)
        case types.VarTupleType():
            least = f" with at least {info.min_length} item" if info.min_length else ""
            return f"a list{least}, each item: {_describe(info.item_type)}"
        case types.StructType():
            names = ", ".join(f"'{field.name}'" for field in info.fields)
            return f"an object with the keys {names}"
        case types.IntType() | types.FloatType():
            return _describe_number(info)
    return "a string"


def _describe_number(info: types.IntType | types.FloatType) -> str:
    noun = "an integer" if isinstance(info, types.IntType) else "a number"
    bounds = (("above", info.gt), ("at least", info.ge), ("at most", info.le))
    limits = [
        f"{word} {value:g}" if value < 1_000 else f"{word} {value}"
        for word, value in bounds
        if value is not None
    ]
    return " ".join([noun, " and ".join(limits)]).strip()


# --- Checks that go beyond types ---


def _problems(settings: Any, path: KeyPath) -> Iterator[_Problem]:
    """Yields every fault of a settings object whose types are right."""
    hints = get_type_hints(settings.__class__, include_extras=True)
    for name, hint in hints.items():
        value = getattr(settings, name)
        yield from _value_problems(value, types.type_info(hint), (*path, name))
    yield from _combination_problems(settings, path)


def _value_problems(value: Any, info: types.Type, path: KeyPath) -> Iterator[_Problem]:
    if isinstance(value, _Settings):
        yield from _problems(value, path)
    elif isinstance(value, tuple):
        tuple_info = info.type if isinstance(info, types.Metadata) else info
        item_info = getattr(tuple_info, "item_type", types.AnyType())
        for index, item in enumerate(value):
            yield from _value_problems(item, item_info, (*path, index))
    elif isinstance(info, types.Metadata) and info.extra:
        kind = info.extra["format"]
        if not _FORMAT_CHECKS[kind](value):
            shown = _shown(path, value)
            yield _Problem(path, f"{shown} has the wrong form", kind.value)


def _combination_problems(settings: Any, path: KeyPath) -> Iterator[_Problem]:
    """Yields faults in keys that depend on each other."""
    match settings:
        case TraceSettings(exporter="file", path=""):
            problem = "'' with exporter 'file'"
            yield _Problem((*path, "path"), problem, "path of a file")
        case BackendSettings(url=""):
            yield _Problem((*path, "url"), "''", "an http or https URL")
        case BackendSettings(type="engine", model=""):
            problem = "'' with type 'engine'"
            yield _Problem((*path, "model"), problem, "name of the base model")
        case BackendSettings(type="service", service=""):
            problem = "'' with type 'service'"
            yield _Problem((*path, "service"), problem, "name of the plain service")
        case EntrySettings(watch=True, object_api=""):
            problem = "true without object_api"
            yield _Problem((*path, "watch"), problem, "false, or set object_api")
    yield from _duplicate_key_ids(settings, path)


def _duplicate_key_ids(settings: Any, path: KeyPath) -> Iterator[_Problem]:
    seen: set[str] = set()
    for index, key in enumerate(getattr(settings, "shared_keys", ())):
        if key.key_id in seen:
            yield _Problem(
                (*path, "shared_keys", index, "key_id"),
                f"{key.key_id!r} is used twice",
                "a key_id of its own for each key",
            )
        seen.add(key.key_id)


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _is_url(text: str) -> bool:
    if not text:
        return True
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "https") and bool(parts.hostname)
    except ValueError:
        return False


def _is_secret(text: str) -> bool:
    is_hex = re.fullmatch(r"(?:[0-9A-Fa-f]{2})+", text) is not None
    return is_hex and len(text) >= 2 * MIN_SECRET_BYTES


_FORMAT_CHECKS: Mapping[_Format, Callable[[str], object]] = {
    _Format.ADDRESS: _is_address,
    _Format.URL: _is_url,
    _Format.NAME: re.compile(r"[A-Za-z0-9][-A-Za-z0-9_.]*").fullmatch,
    # Signatures and issued keys separate the key id with ':' and '.'.
    _Format.KEY_ID: re.compile(r"[-A-Za-z0-9_]+").fullmatch,
    _Format.SECRET: _is_secret,
}


# --- Faults reported by msgspec ---

_AT = re.compile(
    r"^(?P<text>.*?)(?: - at `(?:key in )?\$(?P<path>[^`]*)`)?$", re.DOTALL
)
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")
_FIELD_FAULT = re.compile(r"^Object (contains unknown|missing required) field `(.*)`$")


def _conversion_problem(
    error: msgspec.ValidationError, document: Any, type: type
) -> _Problem:
    found = _AT.match(str(error))
    text = found["text"] if found else str(error)
    path = _steps(found["path"] or "") if found else ()
    info = _info_at(types.type_info(type), path)
    fault = _FIELD_FAULT.match(text)
    if fault is None:
        shown = _shown(path, _value_at(document, path))
        return _Problem(path, f"{shown} is not allowed", _describe(info))
    name = fault.group(2)
    if fault.group(1) == "contains unknown":
        return _Problem((*path, name), "unknown key", _describe(info))
    field = _info_at(info, (name,))
    return _Problem((*path, name), "missing", _describe(field))


def _steps(text: str) -> KeyPath:
    return tuple(key or int(index) for key, index in _STEP.findall(text))


def _info_at(info: types.Type, path: KeyPath) -> types.Type:
    if isinstance(info, types.Metadata) and path:
        return _info_at(info.type, path)
    if isinstance(info, types.StructType) and path:
        fields = {field.name: field.type for field in info.fields}
        return _info_at(fields.get(str(path[0]), types.AnyType()), path[1:])
    if isinstance(info, types.VarTupleType) and path:
        return _info_at(info.item_type, path[1:])
    return info


def _value_at(document: Any, path: KeyPath) -> Any:
    for step in path:
        document = document[step]
    return document


def _shown(path: KeyPath, value: Any) -> str:
    if not _SECRET_KEYS.isdisjoint(path) and path[-1] != "key_id":
        return REDACTED
    match value:
        case dict():
            return "an object"
        case list():
            return "a list"
        case bool() | None:
            return str(value).lower().replace("none", "null")
    return repr(value)


def _dotted(path: KeyPath) -> str:
    parts = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "".join(parts).removeprefix(".")
