"""Model of an engine with continuous batching, without threads or a clock of its own.

Each step runs up to ``batch_size`` sequences and generates one token for each. Its
cost is a base cost plus a cost per sequence, per distinct adapter in the batch and per
prompt token that is not in the prefix cache. A preempted sequence returns to the queue
and pays for its prefill again.
"""

import hashlib
from bisect import insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

from fighitch.types import Seconds
from standins.prefix_cache import CacheChange, PrefixCache, hash_prefix_blocks
from standins.settings import (
    NonNegativeFloat,
    NonNegativeInt,
    PositiveFloat,
    PositiveInt,
)

_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te")

SequenceKey: TypeAlias = Hashable


class EngineParameters(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sizes and costs of the modelled engine; costs are in seconds.

    Attributes:
        batch_size: Maximum number of sequences in a step.
        adapter_slots: Maximum number of adapters loaded or being loaded.
        step_seconds: Base cost of a step.
        sequence_seconds: Cost per sequence in a step.
        adapter_seconds: Cost per distinct adapter in a step.
        prefill_seconds: Cost per prompt token that is not cached.
        preempts_running: Whether more urgent sequences preempt running ones.
        protects_in_use: Whether unloading an adapter that is in use is rejected.
        base_model: Model that replaces an adapter that is not loaded.
        cache_blocks: Capacity of the prefix cache in blocks.
        block_tokens: Tokens per block of the prefix cache.
    """

    batch_size: PositiveInt = 16
    adapter_slots: NonNegativeInt = 8
    step_seconds: PositiveFloat = 0.008
    sequence_seconds: NonNegativeFloat = 0.000_25
    adapter_seconds: NonNegativeFloat = 0.001
    prefill_seconds: NonNegativeFloat = 0.000_05
    preempts_running: bool = True
    protects_in_use: bool = True
    base_model: str = "base"
    cache_blocks: NonNegativeInt = 4_096
    block_tokens: PositiveInt = 16


@dataclass(frozen=True, slots=True)
class Generation:
    """A request to generate a range of tokens.

    Attributes:
        key: Identifies the sequence.
        model: Model to run, as ``adapter@version``.
        prompt: Original prompt, without text that earlier calls generated.
        first_token: Index of the first token to generate.
        end_token: Index after the last token to generate.
        priority: Priority level; lower values run first.
    """

    key: SequenceKey
    model: str
    prompt: str
    first_token: int
    end_token: int
    priority: int = 0


@dataclass(frozen=True, slots=True)
class SequenceStarted:
    """A sequence entered the batch for the first time."""

    time: Seconds
    key: SequenceKey
    model: str


@dataclass(frozen=True, slots=True)
class Token:
    """A step generated a token; ``model`` is the model that ran."""

    time: Seconds
    key: SequenceKey
    index: int
    text: str
    model: str
    is_last: bool


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """Blocks entered or left the prefix cache."""

    time: Seconds
    change: CacheChange


EngineEvent: TypeAlias = SequenceStarted | Token | CacheChanged


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the token that a model generates at a position after a prompt."""
    digest = hashlib.blake2b(f"{model}\0{index}\0{prompt}".encode(), digest_size=4)
    number = int.from_bytes(digest.digest(), "big")
    first, rest = number % len(_SYLLABLES), number // len(_SYLLABLES)
    return f"{_SYLLABLES[first]}{_SYLLABLES[rest % len(_SYLLABLES)]} "


def generated_text(model: str, prompt: str, first: int, end: int) -> str:
    """Returns the text of the tokens from ``first`` up to but excluding ``end``."""
    return "".join(token_text(model, prompt, index) for index in range(first, end))


def count_tokens(prompt: str) -> int:
    """Returns the number of tokens of a prompt, at least 1."""
    return max(1, len(prompt.split()))


@dataclass(slots=True, eq=False)
class _Sequence:
    generation: Generation
    arrival: int
    next_token: int
    sort_key: tuple[int, int] = field(init=False)
    is_prefilled: bool = False
    was_started: bool = False

    def __post_init__(self) -> None:
        self.sort_key = (self.generation.priority, self.arrival)


class EngineModel:
    """Sequences, adapters and steps of one engine."""

    def __init__(self, parameters: EngineParameters) -> None:
        self._parameters = parameters
        self._sequences: dict[SequenceKey, _Sequence] = {}
        self._waiting: list[_Sequence] = []
        self._running: list[_Sequence] = []
        self._resident: set[str] = set()
        self._loading: set[str] = set()
        self._cache = PrefixCache(parameters.cache_blocks)
        self._arrivals = 0
        self._step_end: Seconds | None = None
        self._frozen_at: Seconds | None = None
        self._events: list[EngineEvent] = []
        self._steps = 0
        self._step_sequences = 0
        self.slow_factor = 1.0

    @property
    def running(self) -> int:
        """Number of sequences in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of sequences in the queue."""
        return len(self._waiting)

    @property
    def resident(self) -> frozenset[str]:
        """Adapters that are currently loaded."""
        return frozenset(self._resident)

    @property
    def loading(self) -> frozenset[str]:
        """Adapters that are being loaded."""
        return frozenset(self._loading)

    @property
    def free_slots(self) -> int:
        """Adapter slots that hold no adapter and are not reserved for a load."""
        taken = len(self._resident) + len(self._loading)
        return self._parameters.adapter_slots - taken

    @property
    def steps(self) -> int:
        """Number of steps started."""
        return self._steps

    @property
    def step_sequences(self) -> int:
        """Sum of the batch sizes of all steps started."""
        return self._step_sequences

    def is_served(self, model: str) -> bool:
        """Returns whether a request for the model can run."""
        return model in self._resident or model == self._parameters.base_model

    def is_in_use(self, model: str) -> bool:
        """Returns whether a running or waiting sequence needs the adapter."""
        return any(item.generation.model == model for item in self._sequences.values())

    def submit(self, generation: Generation, now: Seconds) -> bool:
        """Queues a generation.

        Args:
            generation: Generation of at least one token under an unused key.
            now: Current time in seconds.

        Returns:
            False, without queueing the generation, if its model is not loaded.

        Raises:
            ValueError: If the key is in use or there is no token to generate.
        """
        if (
            generation.key in self._sequences
            or generation.first_token >= generation.end_token
        ):
            raise ValueError(
                f"key {generation.key!r} is in use or there is no token to generate"
            )
        if not self.is_served(generation.model):
            return False
        sequence = _Sequence(generation, self._arrivals, generation.first_token)
        self._arrivals += 1
        self._sequences[generation.key] = sequence
        insort(self._waiting, sequence, key=_sort_key)
        self._start_step_if_idle(now)
        return True

    def cancel(self, key: SequenceKey) -> bool:
        """Cancels a sequence; returns whether it existed."""
        sequence = self._sequences.pop(key, None)
        if sequence is None:
            return False
        group = self._running if sequence in self._running else self._waiting
        group.remove(sequence)
        return True

    def begin_load(self, adapter: str) -> bool:
        """Reserves a slot for an adapter; returns False if none is free."""
        if self.free_slots <= 0:
            return False
        self._loading.add(adapter)
        return True

    def end_load(self, adapter: str, *, succeeded: bool) -> None:
        """Completes a load that ``begin_load`` started."""
        self._loading.discard(adapter)
        if succeeded:
            self._resident.add(adapter)

    def unload(self, adapter: str) -> bool:
        """Unloads an adapter.

        Returns:
            False if the adapter is in use and ``protects_in_use`` is set. Without that
            protection, its sequences continue on the base model.
        """
        if self._parameters.protects_in_use and self.is_in_use(adapter):
            return False
        self._resident.discard(adapter)
        return True

    def freeze(self, now: Seconds) -> None:
        """Suspends the steps until ``unfreeze``."""
        if self._frozen_at is None:
            self._frozen_at = now

    def unfreeze(self, now: Seconds) -> None:
        """Resumes the steps where they were suspended."""
        if self._frozen_at is None:
            return
        if self._step_end is not None:
            self._step_end += now - self._frozen_at
        self._frozen_at = None
        self._start_step_if_idle(now)

    def next_event_at(self) -> Seconds | None:
        """Returns the end of the current step, or None while idle or frozen."""
        return None if self._frozen_at is not None else self._step_end

    def advance(self, now: Seconds) -> list[EngineEvent]:
        """Runs every step that ends at or before ``now``.

        Args:
            now: Current time in seconds.

        Returns:
            The events in order of occurrence.
        """
        while (end := self.next_event_at()) is not None and end <= now:
            self._end_step(end)
            self._step_end = None
            self._start_step_if_idle(end)
        events, self._events = self._events, []
        return events

    def _start_step_if_idle(self, now: Seconds) -> None:
        if self._frozen_at is not None or self._step_end is not None:
            return
        self._fill_batch(now)
        if not self._running:
            return
        self._steps += 1
        self._step_sequences += len(self._running)
        self._step_end = now + self._step_cost(now)

    def _fill_batch(self, now: Seconds) -> None:
        while self._waiting:
            is_full = len(self._running) >= self._parameters.batch_size
            if is_full and not self._preempt_least_urgent():
                return
            sequence = self._waiting.pop(0)
            self._running.append(sequence)
            if not sequence.was_started:
                sequence.was_started = True
                model = self._effective_model(sequence)
                self._events.append(
                    SequenceStarted(now, sequence.generation.key, model)
                )

    def _preempt_least_urgent(self) -> bool:
        if not self._parameters.preempts_running:
            return False
        victim = max(self._running, key=_sort_key)
        if victim.generation.priority <= self._waiting[0].generation.priority:
            return False
        self._running.remove(victim)
        victim.is_prefilled = False
        insort(self._waiting, victim, key=_sort_key)
        return True

    def _step_cost(self, now: Seconds) -> Seconds:
        parameters = self._parameters
        adapters = {sequence.generation.model for sequence in self._running}
        prefill = sum(
            self._begin_prefill(sequence, now)
            for sequence in self._running
            if not sequence.is_prefilled
        )
        cost = (
            parameters.step_seconds
            + parameters.sequence_seconds * len(self._running)
            + parameters.adapter_seconds * len(adapters)
            + parameters.prefill_seconds * prefill
        )
        return cost * self.slow_factor

    def _begin_prefill(self, sequence: _Sequence, now: Seconds) -> int:
        sequence.is_prefilled = True
        generation = sequence.generation
        block_tokens = self._parameters.block_tokens
        blocks = hash_prefix_blocks(
            generation.model, generation.prompt, block_tokens=block_tokens
        )
        hits, changes = self._cache.lookup_and_store(generation.model, blocks)
        self._events += [CacheChanged(now, change) for change in changes]
        tokens = count_tokens(generation.prompt) + sequence.next_token
        return tokens - hits * block_tokens

    def _end_step(self, now: Seconds) -> None:
        for sequence in tuple(self._running):
            self._events.append(self._generate_token(sequence, now))
            if sequence.next_token >= sequence.generation.end_token:
                self._running.remove(sequence)
                del self._sequences[sequence.generation.key]

    def _generate_token(self, sequence: _Sequence, now: Seconds) -> Token:
        generation, index = sequence.generation, sequence.next_token
        model = self._effective_model(sequence)
        sequence.next_token += 1
        return Token(
            time=now,
            key=generation.key,
            index=index,
            text=token_text(model, generation.prompt, index),
            model=model,
            is_last=sequence.next_token >= generation.end_token,
        )

    def _effective_model(self, sequence: _Sequence) -> str:
        model = sequence.generation.model
        return model if self.is_served(model) else self._parameters.base_model

    def keys(self) -> Iterator[SequenceKey]:
        """Iterates over the keys of the running and waiting sequences."""
        return iter(self._sequences)


def _sort_key(sequence: _Sequence) -> tuple[int, int]:
    return sequence.sort_key
