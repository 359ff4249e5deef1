"""A model of an engine with continuous batching, without threads or a clock of its own.

Each step runs up to ``batch_size`` sequences and yields one token for each. Its cost is
a base, plus a part for each sequence, for each distinct adapter in the batch and for
each prompt token that is not in the prefix cache. A sequence that more urgent work
displaces returns to the queue and pays its prefill again.
"""

import hashlib
from bisect import insort
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import TypeAlias

import msgspec

from fighitch.types import Seconds
from standins.prefix_cache import CacheChange, PrefixCache, prefix_blocks
from standins.settings import Amount, Count, PositiveFloat, PositiveInt

_SYLLABLES = ("ba", "de", "fi", "go", "ku", "la", "me", "ni", "po", "ru", "sa", "te")

Key: TypeAlias = Hashable


class EngineParameters(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sizes and costs of the modelled engine.

    Attributes:
        batch_size: Most sequences in one step.
        adapter_slots: Most adapters loaded or being loaded.
        step_seconds: Cost of a step with nothing in it.
        sequence_seconds: Cost that each sequence adds to a step.
        adapter_seconds: Cost that each distinct adapter adds to a step.
        prefill_seconds: Cost of one prompt token that is not cached.
        preempts_running: Whether more urgent work displaces running sequences.
        protects_in_use: Whether unloading an adapter in use is refused.
        base_model: Model that runs in place of an adapter that is not loaded.
        cache_blocks: Size of the prefix cache.
        block_tokens: Tokens in one block of the prefix cache.
    """

    batch_size: PositiveInt = 16
    adapter_slots: Count = 8
    step_seconds: PositiveFloat = 0.008
    sequence_seconds: Amount = 0.000_25
    adapter_seconds: Amount = 0.001
    prefill_seconds: Amount = 0.000_05
    preempts_running: bool = True
    protects_in_use: bool = True
    base_model: str = "base"
    cache_blocks: Count = 4_096
    block_tokens: PositiveInt = 16


@dataclass(frozen=True, slots=True)
class Generation:
    """Work for the engine.

    Attributes:
        key: Identifies the sequence.
        model: ``adapter@version`` to run on.
        prompt: Original prompt, without what was generated earlier.
        first_token: Index of the first token to yield.
        end_token: Index after the last token to yield.
        priority: Lower goes first.
    """

    key: Key
    model: str
    prompt: str
    first_token: int
    end_token: int
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Started:
    """A sequence entered the batch for the first time."""

    time: Seconds
    key: Key
    model: str


@dataclass(frozen=True, slots=True)
class Token:
    """A step yielded a token; ``model`` is what really ran."""

    time: Seconds
    key: Key
    index: int
    text: str
    model: str
    is_last: bool


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """Blocks entered or left the prefix cache."""

    time: Seconds
    change: CacheChange


EngineEvent: TypeAlias = Started | Token | CacheChanged


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the token that a model yields at a position after a prompt."""
    digest = hashlib.blake2b(f"{model}\0{index}\0{prompt}".encode(), digest_size=4)
    number = int.from_bytes(digest.digest(), "big")
    first, rest = number % len(_SYLLABLES), number // len(_SYLLABLES)
    return f"{_SYLLABLES[first]}{_SYLLABLES[rest % len(_SYLLABLES)]} "


def generated_text(model: str, prompt: str, first: int, end: int) -> str:
    """Returns the text of the tokens from ``first`` up to ``end``, exclusive."""
    return "".join(token_text(model, prompt, index) for index in range(first, end))


def count_tokens(prompt: str) -> int:
    """Returns the number of prompt tokens, at least 1."""
    return max(1, len(prompt.split()))


@dataclass(slots=True, eq=False)
class _Sequence:
    work: Generation
    arrival: int
    next_token: int
    order: tuple[int, int] = field(init=False)
    is_prefilled: bool = False
    was_started: bool = False

    def __post_init__(self) -> None:
        self.order = (self.work.priority, self.arrival)


class EngineModel:
    """Sequences, adapters and steps of one engine."""

    def __init__(self, parameters: EngineParameters) -> None:
        self._parameters = parameters
        self._sequences: dict[Key, _Sequence] = {}
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
        """Adapters that are loaded."""
        return frozenset(self._resident)

    @property
    def loading(self) -> frozenset[str]:
        """Adapters that are being loaded."""
        return frozenset(self._loading)

    @property
    def free_slots(self) -> int:
        """Adapter slots that are neither taken nor reserved."""
        taken = len(self._resident) + len(self._loading)
        return self._parameters.adapter_slots - taken

    @property
    def steps(self) -> int:
        """Number of steps begun."""
        return self._steps

    @property
    def step_sequences(self) -> int:
        """Sum of the batch sizes of all steps begun."""
        return self._step_sequences

    def is_served(self, model: str) -> bool:
        """Returns whether a request for the model can run."""
        return model in self._resident or model == self._parameters.base_model

    def is_in_use(self, model: str) -> bool:
        """Returns whether a running or waiting sequence needs the adapter."""
        return any(item.work.model == model for item in self._sequences.values())

    def submit(self, work: Generation, now: Seconds) -> bool:
        """Queues work.

        Args:
            work: At least one token to yield; its key must be new.
            now: Current time in seconds.

        Returns:
            False, without queueing it, if its model is not loaded.

        Raises:
            ValueError: If the key is in use or there is no token to yield.
        """
        if work.key in self._sequences or work.first_token >= work.end_token:
            raise ValueError(
                f"key {work.key!r} is in use or there is no token to yield"
            )
        if not self.is_served(work.model):
            return False
        sequence = _Sequence(work, self._arrivals, work.first_token)
        self._arrivals += 1
        self._sequences[work.key] = sequence
        insort(self._waiting, sequence, key=_order)
        self._start_step_if_idle(now)
        return True

    def cancel(self, key: Key) -> bool:
        """Withdraws a sequence; returns whether it was there."""
        sequence = self._sequences.pop(key, None)
        if sequence is None:
            return False
        group = self._running if sequence in self._running else self._waiting
        group.remove(sequence)
        return True

    def begin_load(self, adapter: str) -> bool:
        """Reserves a slot for an adapter; returns False if there is none."""
        if self.free_slots <= 0:
            return False
        self._loading.add(adapter)
        return True

    def end_load(self, adapter: str, *, succeeded: bool) -> None:
        """Ends a load that ``begin_load`` began."""
        self._loading.discard(adapter)
        if succeeded:
            self._resident.add(adapter)

    def unload(self, adapter: str) -> bool:
        """Unloads an adapter.

        Returns:
            False if the engine protects adapters in use and it is. Without that
            protection, the sequences on it continue on the base model.
        """
        if self._parameters.protects_in_use and self.is_in_use(adapter):
            return False
        self._resident.discard(adapter)
        return True

    def freeze(self, now: Seconds) -> None:
        """Stops the steps until ``unfreeze``."""
        if self._frozen_at is None:
            self._frozen_at = now

    def unfreeze(self, now: Seconds) -> None:
        """Continues the steps where they were stopped."""
        if self._frozen_at is None:
            return
        if self._step_end is not None:
            self._step_end += now - self._frozen_at
        self._frozen_at = None
        self._start_step_if_idle(now)

    def next_event_at(self) -> Seconds | None:
        """Returns when the current step ends; None while idle or frozen."""
        return None if self._frozen_at is not None else self._step_end

    def advance(self, now: Seconds) -> list[EngineEvent]:
        """Runs every step that ends by now.

        Args:
            now: Current time in seconds.

        Returns:
            The events, in order.
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
            if is_full and not self._displace():
                return
            sequence = self._waiting.pop(0)
            self._running.append(sequence)
            if not sequence.was_started:
                sequence.was_started = True
                model = self._model_that_runs(sequence)
                self._events.append(Started(now, sequence.work.key, model))

    def _displace(self) -> bool:
        if not self._parameters.preempts_running:
            return False
        last = max(self._running, key=_order)
        if last.work.priority <= self._waiting[0].work.priority:
            return False
        self._running.remove(last)
        last.is_prefilled = False
        insort(self._waiting, last, key=_order)
        return True

    def _step_cost(self, now: Seconds) -> Seconds:
        parameters = self._parameters
        adapters = {sequence.work.model for sequence in self._running}
        prefill = sum(
            self._prefill(sequence, now)
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

    def _prefill(self, sequence: _Sequence, now: Seconds) -> int:
        sequence.is_prefilled = True
        work = sequence.work
        block_tokens = self._parameters.block_tokens
        blocks = prefix_blocks(work.model, work.prompt, block_tokens=block_tokens)
        hits, changes = self._cache.use(work.model, blocks)
        self._events += [CacheChanged(now, change) for change in changes]
        tokens = count_tokens(work.prompt) + sequence.next_token
        return tokens - hits * block_tokens

    def _end_step(self, now: Seconds) -> None:
        for sequence in tuple(self._running):
            self._events.append(self._yield_token(sequence, now))
            if sequence.next_token >= sequence.work.end_token:
                self._running.remove(sequence)
                del self._sequences[sequence.work.key]

    def _yield_token(self, sequence: _Sequence, now: Seconds) -> Token:
        work, index = sequence.work, sequence.next_token
        model = self._model_that_runs(sequence)
        sequence.next_token += 1
        return Token(
            time=now,
            key=work.key,
            index=index,
            text=token_text(model, work.prompt, index),
            model=model,
            is_last=sequence.next_token >= work.end_token,
        )

    def _model_that_runs(self, sequence: _Sequence) -> str:
        model = sequence.work.model
        return model if self.is_served(model) else self._parameters.base_model

    def keys(self) -> Iterator[Key]:
        """Iterates over the keys of the running and waiting sequences."""
        return iter(self._sequences)


def _order(sequence: _Sequence) -> tuple[int, int]:
    return sequence.order
