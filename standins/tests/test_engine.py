"""Tests for ``standins.engine``."""

import http.client
import json
import unittest

from standins.engine import Engine, EngineSettings
from standins.engine_model import EngineParameters, generated_text
from standins.faults import FaultError
from standins.tests.helpers import (
    call,
    open_response,
    read_events,
    start_stand_in,
    wait_until,
)
from standins.weight_store import WeightStore, WeightStoreSettings

FAST = EngineParameters(
    adapter_slots=2,
    step_seconds=0.001,
    sequence_seconds=0,
    adapter_seconds=0,
    prefill_seconds=0,
    block_tokens=2,
)


class EngineTestCase(unittest.TestCase):
    checks_fencing = True

    def setUp(self):
        self.engine = start_stand_in(
            self,
            Engine(
                EngineSettings(
                    model=FAST, load_seconds=0, checks_fencing=self.checks_fencing
                )
            ),
        )

    def call(self, method, path, body=None, **headers):
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return call(self.engine.port, method, path, body, named)

    def load(self, adapter="a@1", token="1"):
        body = {"lora_name": adapter, "lora_path": "a/1"}
        return self.call("POST", "/v1/load_lora_adapter", body, X_Fencing_Token=token)


class CompletionTests(EngineTestCase):
    def test_whole_and_streamed_responses_agree(self):
        """Guards against different results for streaming and other callers."""
        self.load()
        body = {"model": "a@1", "prompt": "one two", "max_tokens": 3}
        _, whole = self.call("POST", "/v1/completions", body, X_Request_Id="r1")
        expected = generated_text("a@1", "one two", 0, 3)
        self.assertEqual(whole["choices"][0]["text"], expected)
        self.assertEqual(
            whole["usage"],
            {"prompt_tokens": 2, "completion_tokens": 3, "total_tokens": 5},
        )
        path = "/v1/completions"
        body["stream"] = True
        with open_response(self.engine.port, "POST", path, body) as response:
            *events, done = read_events(response)
        events = [json.loads(event) for event in events]
        self.assertEqual(done, "[DONE]")
        self.assertEqual({event["model"] for event in events}, {"a@1"})
        text = "".join(event["choices"][0]["text"] for event in events)
        self.assertEqual(text, expected)
        self.assertEqual(events[-1]["usage"], whole["usage"])
        runs = self.call("GET", "/runs")[1]["r1"]
        self.assertEqual(runs, {"runs": 1, "continuations": 0, "models": ["a@1"]})

    def test_continuation_completes_completions_and_chat_calls(self):
        self.load()
        chat = {"messages": [{"role": "user", "content": "hi"}]}
        for path, prompt, original in (
            ("/v1/completions", {"prompt": "hi"}, "hi"),
            ("/v1/chat/completions", chat, "user: hi"),
        ):
            text = generated_text("a@1", original, 0, 2)
            if "prompt" in prompt:
                prompt = {"prompt": prompt["prompt"] + text}
            continued = {"continue_from": {"text": text, "tokens": 2}}
            body = {"model": "a@1", "max_tokens": 5, **prompt, **continued}
            choice = self.call("POST", path, body)[1]["choices"][0]
            rest = choice.get("text") or choice["message"]["content"]
            self.assertEqual(rest, generated_text("a@1", original, 2, 5))

    def test_model_that_is_not_loaded_is_rejected_without_a_run(self):
        body = {"model": "b@1", "prompt": "x"}
        status, _ = self.call("POST", "/v1/completions", body, X_Request_Id="r2")
        self.assertEqual(status, 404)
        self.assertEqual(self.call("GET", "/runs")[1], {})

    def test_closed_connection_cancels_the_call(self):
        """Guards against generation that continues after its caller disconnected."""
        self.load()
        body = {"model": "a@1", "prompt": "x", "max_tokens": 10**9}
        with open_response(
            self.engine.port, "POST", "/v1/completions", {**body, "stream": True}
        ) as response:
            next(read_events(response))
        wait_until(lambda: self.engine.counters()["cancelled"] == 1)
        connection = http.client.HTTPConnection("127.0.0.1", self.engine.port)
        connection.request("POST", "/v1/completions", json.dumps(body))
        wait_until(lambda: self.call("GET", "/load")[1]["running"] == 1)
        connection.close()
        wait_until(lambda: self.engine.counters()["cancelled"] == 2)
        self.assertEqual(self.call("GET", "/load")[1]["running"], 0)


class FaultTests(EngineTestCase):
    def test_cut_response_is_incomplete(self):
        """Guards against a truncated response that looks complete."""
        self.load()
        self.engine.control({"cut_next_answers": 1, "cut_after_tokens": 2})
        body = {"model": "a@1", "prompt": "x", "max_tokens": 5, "stream": True}
        with (
            self.assertRaises(http.client.IncompleteRead),
            open_response(
                self.engine.port, "POST", "/v1/completions", body
            ) as response,
        ):
            response.read()

    def test_cold_restart_drops_adapters_and_keeps_run_counts(self):
        self.load()
        body = {"model": "a@1", "prompt": "x", "max_tokens": 1}
        self.call("POST", "/v1/completions", body, X_Request_Id="r3")
        before = self.call("GET", "/load")[1]
        call(self.engine.control_port, "POST", "/control", {"restart": True})
        after = self.call("GET", "/load")[1]
        self.assertNotEqual(before["boot_id"], after["boot_id"])
        self.assertEqual((before["resident"], after["resident"]), (["a@1"], []))
        self.assertEqual((before["fencing_token"], after["fencing_token"]), (1, 0))
        self.assertEqual(self.call("GET", "/runs")[1]["r3"]["runs"], 1)

    def test_silenced_response_stays_open_and_sends_nothing(self):
        """Guards against a silenced response that closes its connection."""
        self.load()
        body = {"model": "a@1", "prompt": "x", "max_tokens": 10**9, "stream": True}
        with open_response(
            self.engine.port, "POST", "/v1/completions", body
        ) as response:
            next(read_events(response))
            self.engine.control({"silence_answers": True})
            before = self.engine.counters()["tokens"]
            wait_until(lambda: self.engine.counters()["tokens"] > before + 20)
            self.assertEqual(self.engine.counters()["cancelled"], 0)
            self.engine.control({"cut_connections": True})
            with self.assertRaises(http.client.IncompleteRead) as caught:
                response.read()
        self.assertLess(caught.exception.partial.count(b"data: "), before)

    def test_failed_load_frees_its_slot(self):
        self.engine.control({"fail_next_loads": 1})
        self.assertEqual(self.load()[0], 500)
        self.assertEqual([self.load("a@1")[0], self.load("b@1")[0]], [200, 200])
        self.assertEqual(self.load("c@1")[0], 409)

    def test_invalid_fault_is_rejected_and_changes_nothing(self):
        with self.assertRaisesRegex(FaultError, "slow_factor.*restart"):
            self.engine.control({"slow_factor": 2, "slowfactor": 2})
        with self.assertRaisesRegex(FaultError, "slow_factor"):
            self.engine.control({"slow_factor": 0})
        self.assertEqual(self.engine.faults.current.slow_factor, 1.0)


class FencingTests(EngineTestCase):
    def test_stale_token_is_rejected(self):
        self.assertEqual(self.load("a@1", token="5")[0], 200)
        self.assertEqual(self.load("b@1", token="4")[0], 409)
        self.assertEqual(self.call("GET", "/load")[1]["fencing_token"], 5)


class NoFencingTests(EngineTestCase):
    checks_fencing = False

    def test_stale_token_is_accepted_without_fencing(self):
        self.load("a@1", token="5")
        self.assertEqual(self.load("b@1", token="4")[0], 200)
        self.assertEqual(self.call("GET", "/load")[1]["resident"], ["a@1", "b@1"])


class CacheEventTests(EngineTestCase):
    def test_dropped_events_leave_a_gap_in_the_sequence(self):
        """Guards against lost events that a reader cannot detect."""
        self.load()
        with open_response(self.engine.port, "GET", "/events") as response:
            response.readline()
            for prompt, share in (("a b", 0.0), ("c d", 1.0), ("e f", 0.0)):
                self.engine.control({"cache_event_drop_share": share})
                body = {"model": "a@1", "prompt": prompt, "max_tokens": 1}
                self.call("POST", "/v1/completions", body)
            events = read_events(response)
            sequences = [json.loads(next(events))["sequence"] for _ in range(2)]
        self.assertEqual(sequences, [0, 2])


class WeightStoreFetchTests(unittest.TestCase):
    def test_failed_fetch_fails_the_load(self):
        store = start_stand_in(self, WeightStore(WeightStoreSettings()))
        url = f"http://127.0.0.1:{store.port}"
        engine = start_stand_in(self, Engine(EngineSettings(weight_store_url=url)))
        store.control({"fail_next": 1})
        body = {"lora_name": "a@1", "lora_path": "a/1"}
        path = "/v1/load_lora_adapter"
        statuses = [call(engine.port, "POST", path, body)[0] for _ in range(2)]
        self.assertEqual(statuses, [500, 200])
        self.assertEqual(store.counters()["by_source"], {"a/1": 1})
