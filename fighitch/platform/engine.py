"""Backend servers: heartbeats in the store, reports, and orders to engines."""

from collections.abc import Iterable
from functools import singledispatch

import msgspec

from fighitch.core.gateway.adapter_cache import (
    EngineReport,
    LoadAdapter,
    LoadModel,
    Order,
    UnloadAdapter,
)
from fighitch.core.gateway.model import AdapterName, BackendServer, ServerState

SERVERS_KIND = "servers"
REPORT_PATH = "/report"
ORDER_PATH = "/order"
_MS_PER_SECOND = 1_000


class _HeldModel(msgspec.Struct, rename="pascal"):
    name: str
    version: int = 0
    # NAME@VERSION of each adapter.
    adapters: list[str] = []


class _Heartbeat(msgspec.Struct, rename="pascal"):
    service: str
    address: str
    zone: str
    state: ServerState
    slots: int
    models: list[_HeldModel] = []
    # Unix time in ms at which this incarnation started.
    born: int = msgspec.field(default=0, name="born")


class _Report(msgspec.Struct, rename="pascal"):
    # Counts the orders that the engine accepted.
    seq: int
    models: list[_HeldModel] = []
    # MODEL/NAME@VERSION of each adapter on its way.
    coming: list[str] = []
    busy: bool = False
    state: str = ""
    remaining_ms: float | None = None
    id: str = ""
    born: int = msgspec.field(default=0, name="born")


def decode_heartbeat(instance_id: str, spec: msgspec.Raw) -> BackendServer:
    """Decodes an entry of the instance list.

    Raises:
        msgspec.DecodeError: If the entry is not one of a backend server.
    """
    given = msgspec.json.decode(spec, type=_Heartbeat)
    host, _, port = given.address.rpartition(":")
    if not host or not port.isdigit():
        raise msgspec.ValidationError(f"address {given.address!r} is not IP:PORT")
    return BackendServer(
        instance_id=instance_id,
        service=given.service,
        host=host,
        port=int(port),
        zone=given.zone,
        state=given.state,
        slots=given.slots,
        start_time_ms=given.born,
        adapters=_held_adapters(given.models)
        | {AdapterName(model.name): model.version for model in given.models},
    )


def decode_report(body: bytes) -> EngineReport:
    """Decodes an engine's report.

    Raises:
        msgspec.DecodeError: If the body is not a report.
    """
    given = msgspec.json.decode(body, type=_Report)
    remaining = given.remaining_ms
    return EngineReport(
        sequence=given.seq,
        models=frozenset(model.name for model in given.models),
        adapters=_held_adapters(given.models),
        coming=frozenset(_coming_adapter(name) for name in given.coming),
        busy=given.busy,
        draining=given.state == ServerState.DRAINING.value,
        remaining=None if remaining is None else remaining / _MS_PER_SECOND,
        start_time_ms=given.born,
        instance_id=given.id,
    )


def encode_order(
    order: Order, *, sequence: int, holder: str, fencing_token: int
) -> bytes:
    """Encodes an order.

    Args:
        order: What the engine is to do.
        sequence: Number of orders that the engine accepted so far; it rejects the order
            if it has accepted another one meanwhile.
        holder: Who gives the order.
        fencing_token: Grows with each holder.
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


def _held_adapters(models: Iterable[_HeldModel]) -> dict[AdapterName, int]:
    held = {}
    for model in models:
        for name in model.adapters:
            adapter, version = _split_version(name)
            held[AdapterName(model.name, adapter)] = version
    return held


def _coming_adapter(name: str) -> AdapterName:
    model, _, adapter = name.partition("/")
    return AdapterName(model, _split_version(adapter)[0])


def _split_version(name: str) -> tuple[str, int]:
    adapter, _, version = name.partition("@")
    return adapter, int(version) if version.isdigit() else 0
