"""Benchmark workloads: deployments, scenarios and the requests of their callers."""

import random
from bisect import bisect
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from itertools import accumulate

from fighitch.core.resources import (
    AdapterSpec,
    AdapterVersionSpec,
    BackendServerSpec,
    CallerSpec,
    Kind,
    Resource,
    WeightStoreSpec,
    WorkPolicySpec,
)
from fighitch.types import Seconds

URGENT, INTERACTIVE, BATCH = RANKS = (0, 1, 2)
RANK_NAMES = {URGENT: "urgent", INTERACTIVE: "interactive", BATCH: "batch"}
VERSION = "1"
MODEL = "base"
SERVICE = "orders"
REGION = "r1"
SERVICE_PATH = "/orders"
ENGINE_PATH = "/v1/completions"
# With this exponent the 72 adapter slots of the fleet cover about 93 % of the demand.
ZIPF_EXPONENT = 1.5
CALLERS_PER_RANK = 8
# Share of urgent requests that call a plain service instead of an adapter.
SERVICE_SHARE = 0.1
# Share of urgent requests with an idempotency key chosen by the caller.
CHOSEN_KEY_SHARE = 0.05


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size and limits of one of the two deployments on the design page."""

    name: str
    loads_per_second: float
    max_in_transit: int
    zone_latency: Seconds
    zones: tuple[str, ...] = ("z1", "z2", "z3")
    engines: int = 9
    services: int = 3
    adapters: int = 3_000
    adapter_slots: int = 8
    batch_size: int = 16


ASSOCIATION = Deployment("association", 7.0, 16, 0.001)
DIVISION = Deployment("division", 5.5, 24, 0.0005)
DEPLOYMENTS = {item.name: item for item in (ASSOCIATION, DIVISION)}


@dataclass(frozen=True, slots=True)
class EngineCost:
    """Cost model of an engine step, which generates one token for every sequence."""

    base: Seconds = 0.008
    per_sequence: Seconds = 0.0005
    per_adapter: Seconds = 0.001
    per_prefill: Seconds = 0.004

    def step_time(self, sequences: int, adapters: int, prefills: int) -> Seconds:
        """Returns the duration of a step."""
        return (
            self.base
            + self.per_sequence * sequences
            + self.per_adapter * adapters
            + self.per_prefill * prefills
        )

    def request_time(self, tokens: float, batch_size: int, adapters: int) -> Seconds:
        """Returns the engine time that one request takes in a full batch."""
        full_step = self.step_time(batch_size, adapters, 0)
        return tokens * full_step / batch_size + self.per_prefill


COST = EngineCost()


@dataclass(frozen=True, slots=True)
class RankProfile:
    """Shape, latency targets and work policy of the requests of a rank.

    Attributes:
        calm_rate: Requests per second outside of floods.
        tokens: Minimum and maximum number of tokens of a response.
        target: Target of the time to the first token.
        deadline: Deadline of the complete response.
        floor: Guaranteed share of the batch slots during a flood.
        value: Value of one response within its deadline.
        queue_limit: Maximum number of queued requests at one sidecar.
    """

    calm_rate: float
    tokens: tuple[int, int]
    target: Seconds
    deadline: Seconds
    floor: float
    value: float
    queue_limit: int

    @property
    def mean_tokens(self) -> float:
        """Mean number of tokens of a response."""
        return sum(self.tokens) / 2


PROFILES = {
    URGENT: RankProfile(20.0, (16, 32), 1.0, 5.0, 0.0, 100.0, 256),
    INTERACTIVE: RankProfile(15.0, (64, 128), 3.0, 20.0, 0.2, 10.0, 256),
    BATCH: RankProfile(3.0, (256, 512), 60.0, 60.0, 0.1, 1.0, 128),
}


def capacity(deployment: Deployment, rank: int) -> float:
    """Returns the maximum throughput of the fleet with requests of one rank only."""
    time = COST.request_time(
        PROFILES[rank].mean_tokens, deployment.batch_size, deployment.adapter_slots
    )
    return deployment.engines / time


@dataclass(frozen=True, slots=True)
class Phases:
    """Phases of a run, in seconds from its start.

    Attributes:
        measured_from: End of the warm-up.
        event_at: Start of the flood or fault.
        event_until: End of the flood or fault.
        end: Time of the last arrival.
    """

    measured_from: Seconds
    event_at: Seconds
    event_until: Seconds
    end: Seconds


# Filling the adapter slots at the rate of the weight store takes the first 15 s.
FULL_PHASES = Phases(25.0, 30.0, 50.0, 60.0)
QUICK_PHASES = Phases(16.0, 18.0, 30.0, 36.0)

Rate = Callable[[Deployment, int, Phases, Seconds], float]


@dataclass(frozen=True, slots=True)
class Scenario:
    """Overload or fault during a run.

    Attributes:
        name: Name in reports.
        floods: Arrival rate of each flooding rank during the event, as a multiple of
            the capacity of the fleet.
        alternates: Whether the floods follow each other instead of overlapping.
        popularity_shifts: Whether the popularity of adapters changes at the event.
        restarted_share: Share of engines that restart without adapters at the event.
        load_factor: Factor on the load time during the event.
        is_platform_down: Whether the object API is unavailable during the event.
        is_zone_lost: Whether the last availability zone is lost at the event.
    """

    name: str
    floods: Mapping[int, float] = field(default_factory=dict)
    alternates: bool = False
    popularity_shifts: bool = False
    restarted_share: float = 0.0
    load_factor: float = 1.0
    is_platform_down: bool = False
    is_zone_lost: bool = False

    def rate(
        self, deployment: Deployment, rank: int, phases: Phases, now: Seconds
    ) -> float:
        """Returns the arrival rate of a rank at a time, in requests per second."""
        flood = self.floods.get(rank)
        if flood is None or not self._is_flooding(rank, phases, now):
            return PROFILES[rank].calm_rate
        return flood * capacity(deployment, rank)

    def flood_window(self, rank: int, phases: Phases) -> tuple[Seconds, Seconds]:
        """Returns the start and the end of the flood of a rank."""
        if not self.alternates:
            return phases.event_at, phases.event_until
        middle = (phases.event_at + phases.event_until) / 2
        if rank == max(self.floods):
            return phases.event_at, middle
        return middle, phases.event_until

    def _is_flooding(self, rank: int, phases: Phases, now: Seconds) -> bool:
        start, end = self.flood_window(rank, phases)
        return start <= now < end


SCENARIOS = {
    item.name: item
    for item in (
        Scenario("calm"),
        Scenario("batch-flood-3x", floods={BATCH: 3.0}),
        Scenario("batch-flood-10x", floods={BATCH: 10.0}),
        Scenario("urgent-flood-2x", floods={URGENT: 2.0}),
        Scenario("both-in-turn", floods={URGENT: 2.0, BATCH: 10.0}, alternates=True),
        Scenario("popularity-shift", popularity_shifts=True),
        Scenario("cold-restart", restarted_share=1 / 3),
        Scenario("slow-weight-store", load_factor=8.0),
        Scenario("object-api-down", is_platform_down=True),
        Scenario("zone-lost", is_zone_lost=True),
    )
}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a caller.

    Attributes:
        number: Sequence number within the run.
        at: Time of arrival.
        rank: Rank of the request.
        caller: Caller that sends it.
        adapter: Requested adapter; empty for a plain service.
        tokens: Number of tokens of the response.
        has_chosen_key: Whether the caller chose the idempotency key of an order.
    """

    number: int
    at: Seconds
    rank: int
    caller: str
    adapter: str
    tokens: int
    has_chosen_key: bool = False


class Popularity:
    """Zipf distribution over the adapters in random order."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self._rng = rng
        self._names = [adapter_name(index) for index in range(count)]
        weights = ((index + 1) ** -ZIPF_EXPONENT for index in range(count))
        self._cumulative_weights = list(accumulate(weights))
        self.shift()

    def shift(self) -> None:
        """Assigns the popularities to other adapters."""
        self._rng.shuffle(self._names)

    def sample(self) -> str:
        """Samples the adapter of a request."""
        position = bisect(
            self._cumulative_weights, self._rng.random() * self._cumulative_weights[-1]
        )
        return self._names[min(position, len(self._names) - 1)]


def generate_arrivals(
    deployment: Deployment, scenario: Scenario, phases: Phases, seed: int
) -> list[Arrival]:
    """Generates all requests of a run, which are the same for every arm."""
    rng = random.Random(f"{seed}/{deployment.name}/{scenario.name}")
    popularity = Popularity(deployment.adapters, rng)
    times = sorted(
        (at, rank)
        for rank in RANKS
        for at in _arrival_times(deployment, scenario, rank, phases, rng)
    )
    has_shifted = False
    generated = []
    for number, (at, rank) in enumerate(times):
        if scenario.popularity_shifts and not has_shifted and at >= phases.event_at:
            has_shifted = True
            popularity.shift()
        is_service = rank == URGENT and rng.random() < SERVICE_SHARE
        generated.append(
            Arrival(
                number=number,
                at=at,
                rank=rank,
                caller=caller_name(rank, rng.randrange(CALLERS_PER_RANK)),
                adapter="" if is_service else popularity.sample(),
                tokens=1 if is_service else rng.randint(*PROFILES[rank].tokens),
                has_chosen_key=rank == URGENT and rng.random() < CHOSEN_KEY_SHARE,
            )
        )
    return generated


def _arrival_times(
    deployment: Deployment,
    scenario: Scenario,
    rank: int,
    phases: Phases,
    rng: random.Random,
) -> Iterator[Seconds]:
    # Thinning of a Poisson process: candidates arrive at the highest rate and are kept
    # in proportion to the rate at their time.
    rates = [
        scenario.rate(deployment, rank, phases, at)
        for at in (0.0, *scenario.flood_window(rank, phases))
    ]
    highest = max(rates)
    now = rng.expovariate(highest)
    while now < phases.end:
        if rng.random() * highest < scenario.rate(deployment, rank, phases, now):
            yield now
        now += rng.expovariate(highest)


def adapter_name(index: int) -> str:
    """Returns the name of an adapter."""
    return f"adapter-{index:05d}"


def caller_name(rank: int, index: int) -> str:
    """Returns the name of a caller."""
    return f"{RANK_NAMES[rank]}-{index}"


def engine_name(index: int) -> str:
    """Returns the name of an engine and its sidecar."""
    return f"engine-{index:04d}"


def service_name(index: int) -> str:
    """Returns the name of a plain service and its sidecar."""
    return f"service-{index}"


def build_servers(deployment: Deployment) -> list[Resource]:
    """Returns the backend servers, distributed over the availability zones."""
    zones = deployment.zones
    engines = [
        BackendServerSpec(
            type="engine",
            address=f"10.0.{index // 250}.{index % 250}:7000",
            availability_zone=zones[index % len(zones)],
            model=MODEL,
            adapter_slots=deployment.adapter_slots,
            region=REGION,
            batch_size=deployment.batch_size,
        )
        for index in range(deployment.engines)
    ]
    plain = [
        BackendServerSpec(
            type="service",
            address=f"10.1.0.{index}:7000",
            availability_zone=zones[index % len(zones)],
            service=SERVICE,
            region=REGION,
            batch_size=deployment.batch_size,
        )
        for index in range(deployment.services)
    ]
    return [
        Resource(kind=Kind.BACKEND_SERVER, name=name, revision=1, spec=spec)
        for name, spec in (
            *((engine_name(index), spec) for index, spec in enumerate(engines)),
            *((service_name(index), spec) for index, spec in enumerate(plain)),
        )
    ]


def build_configuration(deployment: Deployment) -> tuple[Resource, ...]:
    """Returns all resources of a deployment."""
    version = AdapterVersionSpec(name=VERSION, source="weights", size_bytes=1)
    adapter = AdapterSpec(model=MODEL, versions=(version,), default_version=VERSION)
    policies = [
        Resource(
            kind=Kind.WORK_POLICY,
            name=RANK_NAMES[rank],
            revision=1,
            spec=WorkPolicySpec(
                rank=rank,
                caller_selector=f"rank={RANK_NAMES[rank]}",
                idempotent=rank != URGENT,
                target_ms=round(profile.target * 1_000),
                deadline_ms=round(profile.deadline * 1_000),
                floor=profile.floor,
                value=profile.value,
                queue_limit=profile.queue_limit,
                preemptible=rank == BATCH,
            ),
        )
        for rank, profile in PROFILES.items()
    ]
    callers = [
        Resource(
            kind=Kind.CALLER,
            name=caller_name(rank, index),
            revision=1,
            labels={"rank": RANK_NAMES[rank]},
            spec=CallerSpec(key_digests=(caller_name(rank, index),)),
        )
        for rank in RANKS
        for index in range(CALLERS_PER_RANK)
    ]
    adapters = [
        Resource(kind=Kind.ADAPTER, name=adapter_name(index), revision=1, spec=adapter)
        for index in range(deployment.adapters)
    ]
    store = Resource(
        kind=Kind.WEIGHT_STORE,
        name="weights",
        revision=1,
        spec=WeightStoreSpec(
            loads_per_second=deployment.loads_per_second,
            max_in_transit=deployment.max_in_transit,
        ),
    )
    return (*policies, *callers, store, *build_servers(deployment), *adapters)
