"""Tests of ``standins.engine_model``."""

import unittest

from standins.engine_model import (
    CacheChanged,
    EngineModel,
    EngineParameters,
    Generation,
    Token,
    generated_text,
)


def engine(*adapters, **parameters):
    model = EngineModel(EngineParameters(**parameters))
    for adapter in adapters:
        model.begin_load(adapter)
        model.end_load(adapter, succeeded=True)
    return model


def work(key, model="a@1", *, priority=0, first=0, end=3, prompt="hello"):
    return Generation(key, model, prompt, first, end, priority)


def run_all(model):
    events = []
    while (due := model.next_event_at()) is not None:
        events += model.advance(due)
    return tokens(events)


def tokens(events):
    return [event for event in events if isinstance(event, Token)]


class TokenTests(unittest.TestCase):
    def test_continuation_yields_exactly_the_remaining_tokens(self):
        """Guards against text that a preempted stream loses or repeats."""
        model = engine("a@1")
        model.submit(work("whole", end=6), 0.0)
        model.submit(work("rest", first=2, end=6), 0.0)
        texts = {"whole": "", "rest": generated_text("a@1", "hello", 0, 2)}
        for token in run_all(model):
            texts[token.key] += token.text
        self.assertEqual(texts["whole"], texts["rest"])

    def test_tokens_tell_adapters_and_versions_apart(self):
        """Guards against a mix-up of versions that no check could notice."""
        texts = {generated_text(name, "x", 0, 8) for name in ("a@1", "a@2", "b@1")}
        self.assertEqual(len(texts), 3)


class StepTests(unittest.TestCase):
    def test_step_cost_grows_with_sequences_adapters_and_prefill(self):
        """Guards against benchmarks in which batching or adapters cost nothing."""
        model = engine(
            "a@1",
            "b@1",
            step_seconds=1.0,
            sequence_seconds=0.1,
            adapter_seconds=0.01,
            prefill_seconds=0.001,
        )
        model.submit(work(1, end=9), 0.0)
        self.assertAlmostEqual(model.next_event_at(), 1.111)
        model.submit(work(2, "b@1", end=9), 0.5)
        model.advance(1.2)
        self.assertAlmostEqual(model.next_event_at(), 1.111 + 1.221)

    def test_urgent_work_displaces_and_the_displaced_finishes_later(self):
        """Guards against lost work and against a flood that blocks urgent work."""
        model = engine("a@1", batch_size=1)
        model.submit(work("batch", priority=2, end=4), 0.0)
        model.submit(work("urgent", priority=0, end=2), 0.0)
        order = [(token.key, token.index) for token in run_all(model)]
        self.assertEqual(
            order,
            [("batch", 0), ("urgent", 0), ("urgent", 1)]
            + [("batch", 1), ("batch", 2), ("batch", 3)],
        )

    def test_displaced_work_pays_its_prefill_again(self):
        """Guards against preemption that looks free of cost."""
        model = engine(
            "a@1",
            batch_size=1,
            step_seconds=1.0,
            sequence_seconds=0,
            adapter_seconds=0,
            prefill_seconds=0.1,
        )
        model.submit(work("batch", priority=2, end=2), 0.0)
        model.submit(work("urgent", priority=0, end=1), 0.0)
        # One prompt token each, then the prompt token and the generated one again.
        self.assertAlmostEqual(run_all(model)[-1].time, 1.1 + 1.1 + 1.2)

    def test_cancelled_work_yields_nothing_more(self):
        model = engine("a@1", batch_size=1)
        model.submit(work("running"), 0.0)
        model.submit(work("waiting"), 0.0)
        self.assertTrue(model.cancel("running") and model.cancel("waiting"))
        self.assertEqual(run_all(model), [])

    def test_frozen_time_is_not_made_up_for(self):
        """Guards against a burst of steps after a freeze."""
        model = engine("a@1")
        model.submit(work(1), 0.0)
        due = model.next_event_at()
        model.freeze(0.0)
        self.assertEqual(tokens(model.advance(100.0)), [])
        model.unfreeze(100.0)
        self.assertAlmostEqual(model.next_event_at(), due + 100.0)


class AdapterTests(unittest.TestCase):
    def test_work_on_an_adapter_that_is_not_loaded_is_refused(self):
        self.assertFalse(engine().submit(work(1), 0.0))

    def test_slots_bound_loaded_and_loading_adapters(self):
        model = engine("a@1", adapter_slots=2)
        self.assertTrue(model.begin_load("b@1"))
        self.assertFalse(model.begin_load("c@1"))
        model.end_load("b@1", succeeded=False)
        self.assertTrue(model.begin_load("c@1"))

    def test_unloading_in_use_shows_as_the_wrong_model(self):
        """Guards against an eviction in use that nobody could observe."""
        model = engine("a@1", protects_in_use=False)
        model.submit(work(1), 0.0)
        self.assertTrue(model.unload("a@1"))
        self.assertEqual({token.model for token in run_all(model)}, {"base"})
        protected = engine("a@1")
        protected.submit(work(1), 0.0)
        self.assertFalse(protected.unload("a@1"))


class PrefixCacheTests(unittest.TestCase):
    def test_blocks_are_stored_once_and_evicted_oldest_first(self):
        model = engine("a@1", cache_blocks=2, block_tokens=2)
        events = []
        for key, prompt in enumerate(("w x y z", "w x y z", "w x q r")):
            model.submit(work(key, prompt=prompt, end=1), float(key))
            events += model.advance(key + 0.9)
        changes = [item.change for item in events if isinstance(item, CacheChanged)]
        self.assertEqual([change.is_stored for change in changes], [True, True, False])
        self.assertEqual(changes[2].block_hashes, changes[0].block_hashes[1:])
