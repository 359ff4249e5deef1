"""Earlier answers to an agent's or a watcher's calls, written once more.

These answers have no id. What an agent or an entry does must not depend on whether an
answer belongs to its call.
"""

import json
import re
import select
import socket
import threading
import time
import unittest
from collections.abc import Callable
from unittest import mock

from fighitch.core.gateway.adapter_cache import LoadAdapter
from fighitch.core.gateway.model import AdapterName
from fighitch.core.gateway.settings import Address
from fighitch.gateway.agent_links import AdmissionCallbacks, AgentLinks
from fighitch.gateway.engine_control import EngineControl
from fighitch.gateway.peer_messages import (
    AdmissionRequest,
    Decline,
    Deny,
    Grant,
    Message,
    encode,
)
from fighitch.gateway.store_watch import KindWatcher, WatchOptions
from fighitch.runtime.event_loop import EventLoop
from fighitch.tests.gateway_helpers import engine_spec, server

REFUSED_ORDER = b"HTTP/1.1 %d Refused\r\nContent-Length: 2\r\n\r\n{}"


def json_response(status: int, content: object) -> bytes:
    body = json.dumps(content).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def stored_object(name: str) -> dict[str, object]:
    return {"Metadata": {"Name": name, "Revision": 5}, "Spec": {}}


def list_page(
    names: list[str], *, at: int, has_more: bool = False
) -> dict[str, object]:
    items = [stored_object(name) for name in names]
    return {"items": items, "HasMore": has_more, "At": at}


class AnsweringServer:
    """Answers each request with parts that are written one after the other."""

    _PART_DELAY = 0.02  # seconds between the parts

    def __init__(self, answer: Callable[[bytes], tuple[bytes, ...]]):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address("127.0.0.1", self._listener.getsockname()[1])
        self._answer = answer
        self.connections = 0
        self._threads = [threading.Thread(target=self._accept, daemon=True)]
        self._threads[0].start()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            thread = threading.Thread(target=self._serve, args=(sock,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _serve(self, sock: socket.socket):
        with sock:
            try:
                while request := sock.recv(65_536):
                    for part in self._answer(request):
                        sock.sendall(part)
                        time.sleep(self._PART_DELAY)
            except OSError:
                return

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for thread in self._threads:
            thread.join(5)


class OrderTests(unittest.TestCase):
    """An engine writes the refusal of an order once more when it accepts the next."""

    def setUp(self):
        self.loop = EventLoop()
        self.sequence = 0
        self.orders = 0
        self.refusal = b""
        self.server = AnsweringServer(self.answer)
        self.reports = []
        self.control = EngineControl(
            self.loop, self.server.address, on_report=self.reports.append
        )
        self.addCleanup(self.server.close)
        self.addCleanup(lambda: self.control._client.close())

    def answer(self, request: bytes) -> tuple[bytes, ...]:
        if request.startswith(b"GET "):
            return (json_response(200, {"Seq": self.sequence}),)
        self.orders += 1
        expected = int(re.search(rb'"Expect":(\d+)', request).group(1))
        if self.orders == 1:
            return (self.refusal,)
        if expected != self.sequence:
            return (json_response(409, {}),)
        self.sequence += 1
        return self.refusal, json_response(202, {})

    def run_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(500):
            if condition():
                return
            self.loop.run_once(0.01)
        self.fail("the condition does not hold")

    def send_order(self, sequence: int) -> int:
        """Returns the status, after the answer to the report that follows."""
        statuses: list[int] = []
        reports = len(self.reports)
        self.control.send_order(
            LoadAdapter(AdapterName("base", "a1"), 1),
            sequence=sequence,
            holder="agent",
            token=1,
            instance_id="e1",
            on_end=statuses.append,
        )
        self.run_until(lambda: bool(statuses) and len(self.reports) > reports)
        return statuses[0]

    def next_report(self):
        self.reports.clear()
        while not any(self.reports):
            self.control.request_report()
            self.run_until(lambda: not self.control.busy)
        return self.reports[-1]

    def test_repeated_refusal_of_an_order_does_not_hide_the_next_one(self):
        # The outcome of an order is only logged. The report that follows tells whether
        # it was accepted, and the same order is refused for its sequence number.
        for status in (409, 412, 421):
            with self.subTest(status):
                self.sequence = self.orders = 0
                self.refusal = REFUSED_ORDER % status
                self.assertEqual(self.send_order(0), status)
                self.assertEqual(self.send_order(0), status)
                self.assertEqual(self.next_report().sequence, 1)
                self.assertEqual(self.send_order(0), 409)
                self.assertEqual(self.next_report().sequence, 1)


class StoreWatchTests(unittest.TestCase):
    """The store writes an earlier error once more before the answer to a call."""

    def setUp(self):
        self.loop = EventLoop()
        self.error = b""
        self.revision = 5
        self.has_failed = False
        self.repeated = 0
        self.changes: list[str] = []

    def answer(self, request: bytes) -> tuple[bytes, ...]:
        if b"Watch=" in request and not self.has_failed:
            self.has_failed = True
            return (self.error,)
        answer = self.genuine_answer(request)
        if self.has_failed and not self.repeated:
            self.repeated += 1
            return self.error, answer
        return (answer,)

    def genuine_answer(self, request: bytes) -> bytes:
        found = re.search(rb"Watch=(\d+)", request)
        if found is None:
            names = ["old", "new"][: self.revision - 4]
            return json_response(200, list_page(names, at=self.revision))
        if int(found.group(1)) > 5:
            return json_response(200, {"events": [], "At": 6})
        self.revision = 6
        events = [{"Object": stored_object("new"), "Tombstone": False}]
        return json_response(200, {"events": events, "At": 6})

    def test_repeated_error_does_not_hide_a_change(self):
        for status in (409, 410, 429, 503):
            with self.subTest(status):
                self.setUp()
                self.error = REFUSED_ORDER % status
                store = AnsweringServer(self.answer)
                watcher = KindWatcher(
                    self.loop,
                    store.address,
                    WatchOptions("servers", wait=0.1),
                    mock.Mock(),
                    on_change=lambda item: self.changes.append(item.name),
                )
                watcher.start()
                end = self.loop.now() + 5.0
                while "new" not in self.changes and self.loop.now() < end:
                    self.loop.run_once(0.01)
                watcher.stop()
                store.close()
                self.assertEqual(self.repeated, 1)
                self.assertIn("new", self.changes)


class StoreListTests(unittest.TestCase):
    def test_earlier_page_is_not_the_whole_list(self):
        # An entry that lost the store's history took the last page of its earlier list
        # for the new list and dropped all servers of the other pages.
        pages = [
            json_response(200, list_page(["a"], at=5, has_more=True)),
            json_response(200, list_page(["b"], at=5)),
        ]
        has_failed = False

        def answer(request: bytes) -> tuple[bytes, ...]:
            nonlocal has_failed
            if b"Watch=" in request:
                has_failed = True
                return (json_response(410, {}),)
            if b"after=" in request:
                return (pages[1],)
            is_repeating = has_failed and store.connections == 1
            return (pages[1], pages[0]) if is_repeating else (pages[0],)

        store = AnsweringServer(answer)
        self.addCleanup(store.close)
        lists: list[list[str]] = []
        loop = EventLoop()
        watcher = KindWatcher(
            loop,
            store.address,
            WatchOptions("servers", wait=0.1),
            mock.Mock(),
            on_change=mock.Mock(),
            on_list=lambda items: lists.append([item.name for item in items]),
        )
        self.addCleanup(watcher.stop)
        watcher.start()
        for _ in range(500):
            if len(lists) >= 2:
                break
            loop.run_once(0.01)
        self.assertEqual(lists, [["a", "b"], ["a", "b"]])


class AgentAnswerTests(unittest.TestCase):
    """An agent sends an earlier rejection of a request once more."""

    def setUp(self):
        self.loop = EventLoop()
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.links = AgentLinks(
            self.loop,
            entry="entry",
            peer_port=listener.getsockname()[1],
            log=mock.Mock(),
            on_draining=mock.Mock(),
            on_down=mock.Mock(),
            on_serving=mock.Mock(),
            on_crash_report=mock.Mock(),
            all_crashes=lambda: None,
            named_limit=lambda _server: None,
            is_leaving=lambda _server: False,
            pause_left=lambda _server: 0.0,
        )
        self.links.update({"e1": (server("e1"), engine_spec())})
        self.addCleanup(self.links.update, {})
        self.listener = listener
        self.accept()

    def accept(self) -> None:
        self.agent, _ = self.listener.accept()
        self.addCleanup(self.agent.close)

    def ask(self) -> tuple[int, mock.Mock]:
        """Returns the number of a request and the mock that gets its answers."""
        answers = mock.Mock()
        request = AdmissionRequest(0, "base", "a1", 0, 0, 10, 10, 1_000, 5_000)
        callbacks = AdmissionCallbacks(answers.grant, answers.decline, answers.deny)
        return self.links.request_admission("e1", request, callbacks), answers

    def send(self, *messages: Message) -> None:
        self.agent.sendall(b"".join(encode(message) for message in messages))
        for _ in range(10):
            self.loop.run_once(0.01)

    def test_repeated_rejection_is_not_the_answer_to_a_later_request(self):
        for kind in ("deny", "decline"):
            with self.subTest(kind):
                first, first_answers = self.ask()
                rejection = Deny(first, 100, "full")
                if kind == "decline":
                    rejection = Decline(first, 100)
                self.send(rejection, rejection)
                second, second_answers = self.ask()
                self.send(rejection, Grant(second, 0, False))
                self.assertEqual(len(first_answers.method_calls), 1)
                self.assertEqual(
                    [item[0] for item in second_answers.method_calls], ["grant"]
                )

    def test_numbers_are_not_used_again_after_a_new_connection(self):
        first, _ = self.ask()
        self.agent.close()
        while not select.select([self.listener], [], [], 0.0)[0]:
            self.loop.run_once(0.01)
        self.accept()
        second, answers = self.ask()
        self.send(Deny(first, 100, "full"), Grant(second, 0, False))
        self.assertNotEqual(second, first)
        self.assertEqual([item[0] for item in answers.method_calls], ["grant"])


if __name__ == "__main__":
    unittest.main()
