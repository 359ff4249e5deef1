"""Defines the settings of the daemons and the client, read from JSON with comments."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from expression import Error, Ok, Result

from fighitch.core.commented_json import KeyPath, line_of, parse_commented_json
from fighitch.core.tickets import SharedKey
from fighitch.settings_faults import (
    REDACTED,
    Problem,
    find_format_problems,
    format_key_path,
    problem_from_validation_error,
)
from fighitch.settings_formats import (
    Address,
    KeyId,
    Name,
    PositiveInt,
    RequiredUrl,
    Secret,
    Url,
    split_address as split_address,
)

# A message between the project's processes has at most 4 MiB; 64 KiB of it are reserved
# for the envelope.
MAX_BODY_BYTES = 4 * 1024 * 1024 - 64 * 1024
MAX_HTTP_WORKERS = 4_096


class ReloadRule(Enum):
    """Whether a changed key takes effect at a reload or at a restart."""

    RELOAD = "reload"
    RESTART = "restart"


class _Settings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class of settings: immutable; an unknown key is an error."""


class SharedKeySettings(_Settings, frozen=True, kw_only=True):
    """A key shared by the processes of the deployment.

    Attributes:
        key_id: Identifier of the key, sent with the data that it signs.
        secret: Secret that signs and verifies the data.
    """

    key_id: KeyId
    secret: Secret

    def __repr__(self) -> str:
        return f"SharedKeySettings(key_id={self.key_id!r}, secret={REDACTED})"

    @property
    def key(self) -> SharedKey:
        """The key as an argument for signing functions."""
        return SharedKey(self.key_id, bytes.fromhex(self.secret))


class LogSettings(_Settings, frozen=True, kw_only=True):
    """Settings of the log output.

    Attributes:
        level: Minimum severity of the log events that are written.
        file: Path of the log file; empty selects standard error.
    """

    level: Literal["debug", "info", "notice", "warning", "error", "critical"] = "info"
    file: str = ""


class TraceSettings(_Settings, frozen=True, kw_only=True):
    """Settings of the trace output.

    Attributes:
        exporter: Destination of finished spans.
        path: Path of the file that the ``file`` exporter writes.
    """

    exporter: Literal["none", "console", "file"] = "none"
    path: str = ""


class BackendSettings(_Settings, frozen=True, kw_only=True):
    """Settings of a sidecar's backend server.

    Attributes:
        type: Protocol of the backend server.
        url: Base URL of the backend server.
        service: Name of the plain service; empty for an engine.
        model: Base model of the engine; empty for a plain service.
        adapter_slots: Number of adapters that the engine can hold at once.
        batch_size: Number of requests that can run at once.
        checks_fencing: Whether the server rejects commands with a stale fencing token.
    """

    type: Literal["engine", "service"]
    url: RequiredUrl
    service: str = ""
    model: str = ""
    adapter_slots: PositiveInt = 8
    batch_size: PositiveInt = 16
    checks_fencing: bool = False


class EntrySettings(_Settings, frozen=True, kw_only=True):
    """Settings of ``fighitch entry``.

    Attributes:
        instance: Name of this instance; must be unique in the deployment.
        availability_zone: Availability zone of this instance.
        region: Region of this instance.
        http_address: Listen address for requests of callers.
        admin_address: Listen address for metrics, health checks and operators.
        shared_keys: Keys shared by the processes of the deployment; the first one signs
            and all are accepted, so that keys can be rotated.
        peers: Peer addresses of sidecars that provide the initial configuration.
        object_api: Base URL of the object API; empty if there is none.
        instance_list: URL of the platform's list of instances; empty if there is none.
        max_body_bytes: Maximum body size of a caller's request, in bytes.
        http_workers: Number of threads that serve callers; each request occupies one
            until its response is complete.
        drain_seconds: Maximum drain time at a planned stop, in seconds, after which the
            process exits even with requests in flight; 0 waits for all of them.
        drain_notice_seconds: Time after a stop signal, in seconds, during which the
            entry still serves requests while the load balancer detects that it is not
            ready.
        watch: Whether this entry watches the object API and distributes changes to its
            peers.
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
    drain_notice_seconds: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    watch: bool = False
    log: LogSettings = LogSettings()
    traces: TraceSettings = TraceSettings()


class SidecarSettings(_Settings, frozen=True, kw_only=True):
    """Settings of ``fighitch sidecar``.

    Attributes:
        instance: Name of this instance; must be unique in the deployment.
        availability_zone: Availability zone of this instance.
        region: Region of this instance.
        peer_address: Listen address for connections of entries and other sidecars.
        admin_address: Listen address for metrics, health checks and operators.
        backend: Backend server of this sidecar.
        shared_keys: Keys shared by the processes of the deployment; the first one signs
            and all are accepted, so that keys can be rotated.
        peers: Peer addresses of other sidecars that provide the initial
            configuration.
        object_api: Base URL of the object API; empty if there is none.
        ticket_epoch_seconds: Duration of a ticket epoch, in seconds; records of orders
            are retained for 6 epochs.
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
        sidecars: Admin addresses of the sidecars, queried by ``explain``.
        shared_keys: Keys shared by the processes of the deployment; the first one signs
            the configuration that the client hands over to entries.
        operator_key: Bearer key for requests to the object API and the admin addresses;
            empty sends none.
        manager: Name that ``apply`` records as the manager of applied objects, to
            detect changes by others; empty selects the login name.
        timeout_seconds: Maximum wait for a response, in seconds.
        confirm_seconds: Maximum wait for entries to confirm a change, in seconds.
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

# Reload rule of each key; it also applies to the keys of a nested object. Addresses and
# identity require a restart because peers identify the process by them. The client
# reads its settings at each start.
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
        "drain_notice_seconds": _RELOAD,
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


@dataclass(frozen=True, slots=True)
class SettingsFailure:
    """Describes why a settings file is invalid.

    Attributes:
        file: Path of the file.
        line: Line of the key, counted from 1; 0 if the file cannot be read.
        key: Dotted path of the key; empty for the whole file.
        problem: Invalid value and the reason.
        allowed: Description of the allowed values.
    """

    file: str
    line: int
    key: str
    problem: str
    allowed: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        key = f" {self.key}:" if self.key else ""
        return f"{location}:{key} {self.problem}; allowed: {self.allowed}"


_T = TypeVar("_T", bound=_Settings)


def load_settings(path: str | Path, type: type[_T]) -> Result[_T, SettingsFailure]:
    """Reads a settings file.

    Args:
        path: JSON file, in which comments are allowed.
        type: ``EntrySettings``, ``SidecarSettings`` or ``ClientSettings``.

    Returns:
        The settings, or the first error with file, line, key and allowed values.
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
    """Parses settings.

    Args:
        text: JSON, in which comments are allowed.
        type: ``EntrySettings``, ``SidecarSettings`` or ``ClientSettings``.
        file: Name of the file for error messages.

    Returns:
        The settings, or the first error.
    """
    parsed = parse_commented_json(text)
    if parsed.is_error():
        syntax_error = parsed.error
        return Error(
            SettingsFailure(
                file, syntax_error.line, "", syntax_error.detail, "JSON with comments"
            )
        )
    try:
        settings = msgspec.convert(parsed.ok, type)
        problem = next(_find_problems(settings, ()), None)
    except msgspec.ValidationError as error:
        problem = problem_from_validation_error(error, parsed.ok, type)
    if problem is None:
        return Ok(settings)
    line = line_of(text, problem.path)
    key = format_key_path(problem.path)
    return Error(SettingsFailure(file, line, key, problem.problem, problem.allowed))


def keys_requiring_restart(old: _T, new: _T) -> tuple[str, ...]:
    """Returns the changed keys that a running process cannot apply.

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


# --- Keys that depend on each other ---


def _find_problems(settings: _Settings, path: KeyPath) -> Iterator[Problem]:
    """Yields every problem of a settings object that passed the type checks."""
    yield from find_format_problems(settings, path)
    yield from _find_combination_problems(settings, path)
    for field in msgspec.structs.fields(settings.__class__):
        value = getattr(settings, field.name)
        if isinstance(value, _Settings):
            yield from _find_combination_problems(value, (*path, field.name))


def _find_combination_problems(settings: Any, path: KeyPath) -> Iterator[Problem]:
    """Yields invalid combinations of keys."""
    match settings:
        case TraceSettings(exporter="file", path=""):
            problem = "'' with exporter 'file'"
            yield Problem((*path, "path"), problem, "path of a file")
        case BackendSettings(type="engine", model=""):
            problem = "'' with type 'engine'"
            yield Problem((*path, "model"), problem, "name of the base model")
        case BackendSettings(type="service", service=""):
            problem = "'' with type 'service'"
            yield Problem((*path, "service"), problem, "name of the plain service")
        case EntrySettings(watch=True, object_api=""):
            problem = "true without object_api"
            yield Problem((*path, "watch"), problem, "false, or set object_api")
    yield from _find_duplicate_key_ids(settings, path)


def _find_duplicate_key_ids(settings: Any, path: KeyPath) -> Iterator[Problem]:
    """Yields a problem for each ``key_id`` that occurs again in ``shared_keys``."""
    seen: set[str] = set()
    for index, key in enumerate(getattr(settings, "shared_keys", ())):
        if key.key_id in seen:
            yield Problem(
                (*path, "shared_keys", index, "key_id"),
                f"{key.key_id!r} is used twice",
                "a unique key_id for each key",
            )
        seen.add(key.key_id)
