"""Decodes heartbeats and reports of backend servers and encodes orders to engines."""

import re
from collections.abc import Iterable
from functools import singledispatch
from ipaddress import IPv4Address
from typing import Annotated

import msgspec

from fighitch.core.gateway.adapter_cache import (
    EngineReport,
    LoadAdapter,
    LoadModel,
    Order,
    UnloadAdapter,
)
from fighitch.core.gateway.model import AdapterName, BackendServer, ServerState
from fighitch.core.gateway.settings import Address
from fighitch.platform.decoding import (
    UnixMilliseconds,
    WholeNumber,
    decode,
    parse_address,
    parse_whole_number,
)

SERVERS_KIND = "servers"
REPORT_PATH = "/report"
ORDER_PATH = "/order"
_MS_PER_SECOND = 1_000
_MAX_SLOTS = 1_000_000
# Requests carry the id in a header: visible ASCII, and short enough for any server.
_INSTANCE_ID = re.compile(r"[!-~]{1,200}")

_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _HeldModel(msgspec.Struct, rename="pascal"):
    name: str
    version: WholeNumber = 0
    # Adapters, each as NAME@VERSION.
    adapters: list[str] = []


class _Heartbeat(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: ServerState
    slots: _Slots
    models: list[_HeldModel] = []
    # Start time of this incarnation in Unix ms.
    born: UnixMilliseconds = msgspec.field(default=0, name="born")


class _Report(msgspec.Struct, rename="pascal"):
    # Number of orders that the engine has accepted.
    seq: WholeNumber
    models: list[_HeldModel] = []
    # Adapters that are being loaded, each as MODEL/NAME@VERSION.
    coming: list[str] = []
    busy: bool = False
    state: str = ""
    remaining_ms: float | None = None
    id: str = ""
    born: UnixMilliseconds = msgspec.field(default=0, name="born")
    # Decoded separately, as a report without it is still valid.
    runs: msgspec.Raw = msgspec.Raw(b"[]")


class _Run(msgspec.Struct, array_like=True):
    request_id: str
    tokens_in_memory: float
    events: WholeNumber


def decode_heartbeat(instance_id: str, spec: msgspec.Raw) -> BackendServer:
    """Decodes an entry of the instance list as a backend server.

    Raises:
        msgspec.DecodeError: If the entry does not describe a backend server.
    """
    if not _INSTANCE_ID.fullmatch(instance_id):
        raise msgspec.ValidationError("the id can't be sent in a header")
    decoded = decode(spec, _Heartbeat)
    address = _parse_server_address(decoded.address)
    return BackendServer(
        instance_id=instance_id,
        service=decoded.service,
        host=address.host,
        port=address.port,
        zone=decoded.zone,
        state=decoded.state,
        slots=decoded.slots,
        start_time_ms=decoded.born,
        adapters=_held_adapters(decoded.models)
        | {AdapterName(model.name): model.version for model in decoded.models},
    )


def decode_report(body: bytes, *, leaving: bool = False) -> EngineReport:
    """Decodes the report of an engine.

    Args:
        body: Body of the response.
        leaving: Whether the head of the response says that the engine leaves.

    Raises:
        msgspec.DecodeError: If the body is not a valid report.
    """
    decoded = decode(body, _Report)
    time_left_ms = decoded.remaining_ms
    return EngineReport(
        sequence=decoded.seq,
        models=frozenset(model.name for model in decoded.models),
        adapters=_held_adapters(decoded.models),
        loading=frozenset(_parse_loading_adapter(name) for name in decoded.coming),
        busy=decoded.busy,
        draining=decoded.state == ServerState.DRAINING.value,
        leaving=leaving,
        time_left=None if time_left_ms is None else time_left_ms / _MS_PER_SECOND,
        start_time_ms=decoded.born,
        instance_id=decoded.id,
        events=_decode_events(decoded.runs),
    )


def encode_order(
    order: Order, *, sequence: int, holder: str, fencing_token: int
) -> bytes:
    """Encodes an order to an engine.

    Args:
        order: Order to encode.
        sequence: Number of orders that the engine has accepted so far; the engine
            rejects the order if it has accepted another one in the meantime.
        holder: Name of the instance that holds the engine.
        fencing_token: Fencing token of the holder; increases with each holder.
    """
    fields: dict[str, str | int] = {
        "Expect": sequence,
        "Holder": holder,
        "FencingToken": fencing_token,
    }
    return msgspec.json.encode({**_order_fields(order), **fields})


@singledispatch
def _order_fields(order: Order) -> dict[str, str | int]:
    raise TypeError(f"unknown order {order!r}")


@_order_fields.register
def _(order: LoadAdapter) -> dict[str, str | int]:
    fields: dict[str, str | int] = {
        "Operation": "model_load",
        "Model": order.adapter.model,
        "Adapter": order.adapter.adapter,
    }
    if order.version:
        fields["Version"] = order.version
    return fields


@_order_fields.register
def _(order: UnloadAdapter) -> dict[str, str | int]:
    return {
        "Operation": "model_unload",
        "Model": order.adapter.model,
        "Adapter": order.adapter.adapter,
    }


@_order_fields.register
def _(order: LoadModel) -> dict[str, str | int]:
    return {"Operation": "model_load", "Model": order.model}


def _decode_events(runs: msgspec.Raw) -> dict[str, int]:
    """Returns the events that each running request has produced, if they are stated."""
    try:
        decoded = decode(runs, list[_Run])
    except msgspec.DecodeError:
        return {}
    return {run.request_id: run.events for run in decoded}


def _held_adapters(models: Iterable[_HeldModel]) -> dict[AdapterName, int]:
    held = {}
    for model in models:
        for name in model.adapters:
            adapter, version = _split_version(name)
            held[AdapterName(model.name, adapter)] = version
    return held


def _parse_loading_adapter(name: str) -> AdapterName:
    model, _, adapter = name.partition("/")
    return AdapterName(model, _split_version(adapter)[0])


def _split_version(name: str) -> tuple[str, int]:
    adapter, _, version = name.partition("@")
    is_number = version.isascii() and version.isdigit()
    return adapter, parse_whole_number(version) if is_number else 0


def _parse_server_address(text: str) -> Address:
    address = parse_address(text)
    ip = IPv4Address(address.host)
    if ip.is_unspecified or ip.is_multicast or ip.is_reserved:
        raise msgspec.ValidationError(f"address {text!r} is not that of one server")
    return address
