"""Tests for ``standins.engine_model``."""

import unittest

from standins.engine_model import (
    CacheChanged,
    EngineModel,
    EngineParameters,
    Generation,
    Token,
    generated_text,
)


def build_engine(*adapters, **parameters):
    model = EngineModel(EngineParameters(**parameters))
    for adapter in adapters:
        model.begin_load(adapter)
        model.end_load(adapter, succeeded=True)
    return model


def generation(key, model="a@1", *, priority=0, first=0, end=3, prompt="hello"):
    return Generation(key, model, prompt, first, end, priority)


def run_to_completion(model):
    events = []
    while (due := model.next_event_at()) is not None:
        events += model.advance(due)
    return select_tokens(events)


def select_tokens(events):
    return [event for event in events if isinstance(event, Token)]


class TokenTests(unittest.TestCase):
    def test_continuation_generates_exactly_the_remaining_tokens(self):
        """Guards against text that is lost or repeated when a stream is continued."""
        model = build_engine("a@1")
        model.submit(generation("whole", end=6), 0.0)
        model.submit(generation("rest", first=2, end=6), 0.0)
        texts = {"whole": "", "rest": generated_text("a@1", "hello", 0, 2)}
        for token in run_to_completion(model):
            texts[token.key] += token.text
        self.assertEqual(texts["whole"], texts["rest"])

    def test_tokens_differ_between_adapters_and_versions(self):
        """Guards against mixed-up versions that no check can detect."""
        texts = {generated_text(name, "x", 0, 8) for name in ("a@1", "a@2", "b@1")}
        self.assertEqual(len(texts), 3)


class StepTests(unittest.TestCase):
    def test_step_cost_grows_with_sequences_adapters_and_prefill(self):
        """Guards against benchmarks in which batching or adapters are free."""
        model = build_engine(
            "a@1",
            "b@1",
            step_seconds=1.0,
            sequence_seconds=0.1,
            adapter_seconds=0.01,
            prefill_seconds=0.001,
        )
        model.submit(generation(1, end=9), 0.0)
        self.assertAlmostEqual(model.next_event_at(), 1.111)
        model.submit(generation(2, "b@1", end=9), 0.5)
        model.advance(1.2)
        self.assertAlmostEqual(model.next_event_at(), 1.111 + 1.221)

    def test_urgent_sequence_preempts_and_the_preempted_one_finishes_later(self):
        """Guards against lost sequences and against load that blocks urgent ones."""
        model = build_engine("a@1", batch_size=1)
        model.submit(generation("batch", priority=2, end=4), 0.0)
        model.submit(generation("urgent", priority=0, end=2), 0.0)
        order = [(token.key, token.index) for token in run_to_completion(model)]
        self.assertEqual(
            order,
            [("batch", 0), ("urgent", 0), ("urgent", 1)]
            + [("batch", 1), ("batch", 2), ("batch", 3)],
        )

    def test_preempted_sequence_pays_for_its_prefill_again(self):
        """Guards against benchmarks in which preemption is free."""
        model = build_engine(
            "a@1",
            batch_size=1,
            step_seconds=1.0,
            sequence_seconds=0,
            adapter_seconds=0,
            prefill_seconds=0.1,
        )
        model.submit(generation("batch", priority=2, end=2), 0.0)
        model.submit(generation("urgent", priority=0, end=1), 0.0)
        # Each sequence prefills one prompt token; the preempted one then prefills its
        # prompt token and its generated token again.
        self.assertAlmostEqual(run_to_completion(model)[-1].time, 1.1 + 1.1 + 1.2)

    def test_cancelled_sequences_generate_no_more_tokens(self):
        model = build_engine("a@1", batch_size=1)
        model.submit(generation("running"), 0.0)
        model.submit(generation("waiting"), 0.0)
        self.assertTrue(model.cancel("running") and model.cancel("waiting"))
        self.assertEqual(run_to_completion(model), [])

    def test_steps_do_not_catch_up_after_a_freeze(self):
        """Guards against a burst of steps after a freeze."""
        model = build_engine("a@1")
        model.submit(generation(1), 0.0)
        due = model.next_event_at()
        model.freeze(0.0)
        self.assertEqual(select_tokens(model.advance(100.0)), [])
        model.unfreeze(100.0)
        self.assertAlmostEqual(model.next_event_at(), due + 100.0)


class AdapterTests(unittest.TestCase):
    def test_generation_on_an_adapter_that_is_not_loaded_is_rejected(self):
        self.assertFalse(build_engine().submit(generation(1), 0.0))

    def test_slots_bound_loaded_and_loading_adapters(self):
        model = build_engine("a@1", adapter_slots=2)
        self.assertTrue(model.begin_load("b@1"))
        self.assertFalse(model.begin_load("c@1"))
        model.end_load("b@1", succeeded=False)
        self.assertTrue(model.begin_load("c@1"))

    def test_unloading_an_adapter_in_use_runs_the_base_model(self):
        """Guards against an unload of an adapter in use that no check can detect."""
        model = build_engine("a@1", protects_in_use=False)
        model.submit(generation(1), 0.0)
        self.assertTrue(model.unload("a@1"))
        self.assertEqual({token.model for token in run_to_completion(model)}, {"base"})
        protected = build_engine("a@1")
        protected.submit(generation(1), 0.0)
        self.assertFalse(protected.unload("a@1"))


class PrefixCacheTests(unittest.TestCase):
    def test_blocks_are_stored_once_and_evicted_in_lru_order(self):
        model = build_engine("a@1", cache_blocks=2, block_tokens=2)
        events = []
        for key, prompt in enumerate(("w x y z", "w x y z", "w x q r")):
            model.submit(generation(key, prompt=prompt, end=1), float(key))
            events += model.advance(key + 0.9)
        changes = [item.change for item in events if isinstance(item, CacheChanged)]
        self.assertEqual([change.is_stored for change in changes], [True, True, False])
        self.assertEqual(changes[2].block_hashes, changes[0].block_hashes[1:])
