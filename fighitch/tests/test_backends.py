"""Tests of the package ``fighitch.backends``."""

import unittest

import msgspec

from fighitch.backends import engine, service
from fighitch.core.effects import CallBackend, LoadAdapter, UnloadAdapter
from fighitch.core.inputs import (
    AdapterLoaded,
    AdapterLoadFailed,
    AdapterUnloaded,
    BackendData,
    BackendEnded,
    BackendFailed,
    BackendStarted,
)
from fighitch.core.messages import AdapterVersion
from fighitch.runtime.transfers import (
    TransferData,
    TransferEnded,
    TransferFailed,
    TransferStarted,
)

ADAPTER = AdapterVersion("a", "v1")
SSE = {"content-type": "text/event-stream"}


def make_call(*, streamed=True, path="/v1/completions", generated="", tokens=0, **body):
    content = {"model": "a", "prompt": "p", "stream": streamed, **body}
    return CallBackend(
        request_id="r",
        attempt=1,
        call=7,
        path=path,
        method="POST",
        body=msgspec.json.encode(content),
        adapter_version=ADAPTER,
        rank=2,
        generated=generated,
        generated_tokens=tokens,
        streamed=streamed,
    )


def sse(*events, done=True):
    parts = [b"data: " + msgspec.json.encode(event) + b"\n\n" for event in events]
    return b"".join(parts) + (b"data: [DONE]\n\n" if done else b"")


def event(text, *, finish=None, **more):
    choice = {"index": 0, "text": text, "finish_reason": finish}
    return {"id": "x", "model": "a@v1", "choices": [choice], **more}


def read(reader, data, *, status=200, headers=SSE, piece=11, end=None):
    events = list(reader.read(TransferStarted(status, headers)))
    for start in range(0, len(data), piece):
        events += reader.read(TransferData(data[start : start + piece]))
    return events + list(reader.read(end or TransferEnded()))


class EngineCallTests(unittest.TestCase):
    def test_request_has_version_rank_and_generated_text(self):
        transfer, _ = engine.build_call_transfer(
            make_call(generated="one two ", tokens=2), "http://e"
        )
        body = msgspec.json.decode(transfer.body)
        self.assertEqual(body["model"], "a@v1")
        self.assertEqual(body["priority"], 2)
        self.assertEqual(body["continue_from"], {"text": "one two ", "tokens": 2})

    def test_non_continuable_response_is_not_streamed(self):
        """Guards against an assembled response that lacks its log probabilities."""
        transfer, reader = engine.build_call_transfer(
            make_call(streamed=False, logprobs=2), "http://e"
        )
        self.assertFalse(msgspec.json.decode(transfer.body)["stream"])
        data = msgspec.json.encode({"model": "a@v1", "choices": []})
        started, body, ended = read(reader, data, headers={})
        self.assertEqual(started.model, "a@v1")
        self.assertEqual(body.data, data)
        self.assertIsInstance(ended, BackendEnded)


class EngineResponseTests(unittest.TestCase):
    def test_stream_is_forwarded_after_the_model(self):
        _, reader = engine.build_call_transfer(make_call(), "http://e")
        events = read(reader, sse(event("one "), event("two", finish="stop")))
        self.assertIsInstance(events[0], BackendStarted)
        self.assertEqual(events[0].model, "a@v1")
        data = [item for item in events if isinstance(item, BackendData)]
        self.assertEqual([item.text for item in data], ["one ", "two", ""])
        self.assertEqual(data[-1].data, b"data: [DONE]\n\n")
        self.assertIsInstance(events[-1], BackendEnded)

    def test_response_is_assembled_across_a_continuation(self):
        """Guards against losing the text that was generated before a preemption."""
        _, reader = engine.build_call_transfer(
            make_call(streamed=False, generated="one ", tokens=1), "http://e"
        )
        usage = {"prompt_tokens": 1, "completion_tokens": 1, "total_tokens": 2}
        events = read(reader, sse(event("two", finish="stop", usage=usage)))
        response = msgspec.json.decode(events[-2].data)
        self.assertEqual(response["choices"][0]["text"], "one two")
        self.assertEqual(response["usage"]["completion_tokens"], 2)
        self.assertEqual(response["model"], "a@v1")

    def test_chat_response_is_assembled_as_a_message(self):
        _, reader = engine.build_call_transfer(
            make_call(streamed=False, path="/v1/chat/completions"), "http://e"
        )
        chunk = {"model": "a@v1", "choices": [{"delta": {"content": "hello"}}]}
        events = read(reader, sse(chunk))
        message = msgspec.json.decode(events[-2].data)["choices"][0]["message"]
        self.assertEqual(message, {"role": "assistant", "content": "hello"})

    def test_stream_without_done_event_is_a_failure(self):
        """Guards against treating a truncated response as complete."""
        for streamed in (True, False):
            _, reader = engine.build_call_transfer(
                make_call(streamed=streamed), "http://e"
            )
            events = read(reader, sse(event("one "), done=False))
            self.assertIsInstance(events[-1], BackendFailed)
            self.assertTrue(events[-1].sent)

    def test_error_response_of_the_engine_is_forwarded_unchanged(self):
        _, reader = engine.build_call_transfer(make_call(), "http://e")
        started, data, ended = read(reader, b'{"error": {}}', status=404, headers={})
        self.assertEqual((started.status, started.model), (404, ""))
        self.assertEqual(data.data, b'{"error": {}}')
        self.assertIsInstance(ended, BackendEnded)

    def test_stream_states_whether_it_can_be_continued(self):
        for options, expected in (
            ({}, True),
            ({"n": 2}, False),
            ({"tools": [1]}, False),
        ):
            _, reader = engine.build_call_transfer(make_call(**options), "http://e")
            started = read(reader, sse(event("one ")))[0]
            self.assertEqual(started.is_continuable, expected)

    def test_error_event_is_a_failure(self):
        """Guards against a response that ends as complete after an engine's error."""
        error = {"error": {"message": "failed"}, "model": "a@v1"}
        for streamed in (True, False):
            _, reader = engine.build_call_transfer(
                make_call(streamed=streamed), "http://e"
            )
            events = read(reader, sse(event("one "), error))
            kinds = [type(item) for item in events[:3]]
            self.assertEqual(kinds, [BackendStarted, BackendData, BackendFailed])
            self.assertIn("failed", events[2].detail)

    def test_malformed_events_are_a_failure(self):
        for malformed in (
            b"data: {\n\n",
            b"data: 7\n\n",
            b'data: {"choices": [1]}\n\n',
        ):
            _, reader = engine.build_call_transfer(make_call(), "http://e")
            events = read(reader, malformed)
            self.assertIsInstance(events[0], BackendFailed)

    def test_failed_call_reports_whether_it_was_sent(self):
        for sent in (True, False):
            _, reader = engine.build_call_transfer(make_call(), "http://e")
            (failed,) = reader.read(TransferFailed(sent, "x"))
            self.assertEqual(failed.sent, sent)


class EngineCommandTests(unittest.TestCase):
    LOAD = LoadAdapter(ADAPTER, "a/v1", 9)

    def test_commands_include_the_fencing_token(self):
        for transfer in (
            engine.build_load_transfer(self.LOAD, "http://e"),
            engine.build_unload_transfer(UnloadAdapter(ADAPTER, 9), "http://e"),
        ):
            self.assertEqual(transfer.headers[engine.FENCING_HEADER], "9")

    def test_command_responses_are_parsed(self):
        loaded = engine.parse_command_response(self.LOAD, 200, b'{"boot_id": "b"}')
        self.assertEqual(loaded, AdapterLoaded(ADAPTER, "b"))
        unload = UnloadAdapter(ADAPTER, 9)
        self.assertIsInstance(
            engine.parse_command_response(unload, 200, b""), AdapterUnloaded
        )
        rejected = engine.parse_command_response(self.LOAD, 409, b"old token")
        self.assertIsInstance(rejected, AdapterLoadFailed)
        self.assertIn("409", rejected.detail)

    def test_status_is_parsed(self):
        status = b'{"boot_id": "b", "resident": ["a@v1", "odd"], "fencing_token": 3}'
        report = engine.parse_status(status)
        self.assertEqual(report.resident, frozenset({ADAPTER}))
        self.assertEqual((report.boot_id, report.fencing_token), ("b", 3))


class ServiceTests(unittest.TestCase):
    def test_order_is_not_retried_by_the_http_library(self):
        """Guards against a transparent retry of a POST after a closed connection."""
        order = CallBackend("r", 1, 1, "/o", "POST", b"{}", None, ticket="t")
        transfer, _ = service.build_call_transfer(order, "http://s")
        self.assertFalse(transfer.is_repeatable)
        self.assertEqual(transfer.headers["Idempotency-Key"], "t")

    def test_response_is_forwarded(self):
        lookup = CallBackend("r", 1, 1, "/x", "GET", b"", None)
        transfer, reader = service.build_call_transfer(lookup, "http://s")
        self.assertTrue(transfer.is_repeatable)
        events = read(reader, b"abc", headers={"content-type": "text/plain"})
        self.assertEqual(events[0].content_type, "text/plain")
        self.assertIsInstance(events[-1], BackendEnded)
