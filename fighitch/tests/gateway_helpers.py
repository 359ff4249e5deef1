"""Test data for gateway entries and engine agents."""

from fighitch.core.gateway.adapter_cache import EngineReport
from fighitch.core.gateway.engine_queue import EngineRequest
from fighitch.core.gateway.model import (
    AdapterName,
    BackendServer,
    EngineSpec,
    ModelSpec,
    RequestSize,
    ServerState,
)

MODEL = "base"
A1 = AdapterName(MODEL, "a1")
A2 = AdapterName(MODEL, "a2")
A3 = AdapterName(MODEL, "a3")


def engine_spec(*, capacity: int = 2, slots: int = 8) -> EngineSpec:
    model = ModelSpec(MODEL, weights_mb=100, load_seconds=1, adapter_mb=1)
    return EngineSpec(
        batch_slots=slots,
        kv_tokens=100_000,
        weights_mb=200,
        adapter_places=capacity,
        loads_per_second=5,
        models={MODEL: model},
    )


def report(
    *adapters: AdapterName,
    versions: dict[AdapterName, int] | None = None,
    loading: tuple[AdapterName, ...] = (),
    models: tuple[str, ...] = (MODEL,),
    sequence: int = 0,
    start_time_ms: int = 1,
) -> EngineReport:
    loaded = dict.fromkeys(adapters, 1) | (versions or {})
    return EngineReport(
        sequence=sequence,
        models=frozenset(models),
        adapters=loaded,
        loading=frozenset(loading),
        start_time_ms=start_time_ms,
    )


def server(
    name: str,
    *,
    zone: str = "z1",
    state: ServerState = ServerState.READY,
    start_time_ms: int = 1,
    service: str = "models",
    adapters: dict[AdapterName, int] | None = None,
) -> BackendServer:
    return BackendServer(
        instance_id=name,
        service=service,
        host="127.0.0.1",
        port=80,
        zone=zone,
        state=state,
        slots=4,
        start_time_ms=start_time_ms,
        adapters=adapters or {},
    )


def request(
    number: int,
    *,
    adapter: AdapterName = A1,
    rank: int = 0,
    prompt: int = 500,
    output: int = 50,
    arrived: float = 0.0,
    target_latency: float = 1.0,
    timeout: float = 10.0,
    connection: int = 1,
    gap_target: float = float("inf"),
    account: str = "",
    weight: float = 1.0,
) -> EngineRequest:
    return EngineRequest(
        key=(connection, number),
        adapter=adapter,
        version=0,
        rank=rank,
        size=RequestSize(prompt, output),
        arrived=arrived,
        target_time=arrived + target_latency,
        deadline=arrived + timeout,
        gap_target=gap_target,
        account=account,
        weight=weight,
    )


class AllAdaptersLoaded:
    def serves(self, adapter, version, now):
        return True


class NoAdaptersLoaded:
    def serves(self, adapter, version, now):
        return False
