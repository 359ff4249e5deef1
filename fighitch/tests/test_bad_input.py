"""Malformed input at every port: no crash, bounded memory, other requests served."""

import contextlib
import dataclasses
import functools
import http.client
import itertools
import os
import queue
import random
import socket
import threading
import unittest
from unittest import mock

from expression import Ok

from fighitch.core import effects, inputs, messages
from fighitch.core.effects import AnswerEnded, LogEvent
from fighitch.core.entry import EntryCore
from fighitch.core.messages import Peer, Role
from fighitch.core.sidecar import SidecarCore, SidecarSettings
from fighitch.core.tickets import SharedKey, TicketSigner
from fighitch.daemons.admin_app import AdminApp
from fighitch.daemons.callers_app import CallersApp
from fighitch.observability.metrics import Metrics
from fighitch.observability.traces import Traces
from fighitch.runtime import connections, core_loop, http_server
from fighitch.runtime.core_loop import CoreLoop
from fighitch.runtime.http_server import HttpServer
from fighitch.tests import sidecar_helpers, test_fleet
from fighitch.tests.test_wire import MESSAGES
from fighitch.wire.codec import CodecError, Hello, Proof, decode, encode
from fighitch.wire.framing import FrameReader, frame
from fighitch.wire.handshake import NONCE_BYTES, Handshake

KEY = SharedKey("k", b"s" * 32)
TIMEOUT = 20
MAX_BODY_BYTES = 10_000
WORKERS = 4
VALID_REQUEST = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
    b"Content-Type: application/json\r\nContent-Length: 13\r\n\r\n"
    b'{"model":"a"}'
)
DEEPLY_NESTED_JSON = b"[" * 9_000


def mutate(rng, data):
    """Returns the data with a few bytes changed, removed or duplicated."""
    data = bytearray(data)
    for _ in range(rng.randint(1, 6)):
        at = rng.randrange(len(data))
        choice = rng.randrange(4)
        if choice == 0:
            data[at] = rng.randrange(256)
        elif choice == 1:
            data[at] ^= 1 << rng.randrange(8)
        elif choice == 2:
            data[at:at] = data[at : at + rng.randint(1, 40)]
        elif len(data) > 8:
            del data[at : at + rng.randint(1, 8)]
        if not data:
            data += b"\0"
    return bytes(data)


def exchange(address, data):
    """Sends bytes, shuts the sending side down and returns all received bytes."""
    host, _, port = address.rpartition(":")
    received = bytearray()
    with socket.create_connection((host, int(port)), timeout=TIMEOUT) as sock:
        with contextlib.suppress(OSError):
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while part := sock.recv(65_536):
                received += part
    return bytes(received)


class EchoEntry:
    """An entry that answers every request immediately."""

    def __init__(self):
        self._events = {}
        self._numbers = itertools.count()
        self.bodies = []

    def open_request(self):
        request_id = f"e.1.{next(self._numbers)}"
        self._events[request_id] = queue.SimpleQueue()
        return request_id, self._events[request_id]

    def close_request(self, request_id):
        self._events.pop(request_id, None)

    def post(self, message):
        if not isinstance(message, inputs.CallerGone):
            self.bodies.append(getattr(message, "body", b""))
            answer = AnswerEnded(message.request_id, 200, b"{}")
            self._events[message.request_id].put(answer)

    def models(self, key_digest):
        return Ok([])

    def is_ready(self):
        return True


class RejectingDaemon:
    """A daemon that fails the test if an administration command reaches it."""

    def is_ready(self):
        return True

    def status(self):
        return {}

    def configuration(self):
        return {}

    def take_configuration(self, resources):
        raise AssertionError("an unsigned configuration was accepted")

    def explain(self, request_id):
        return []

    def drain(self):
        raise AssertionError("an unsigned drain was accepted")


class HttpTests(unittest.TestCase):
    """The HTTP ports for callers and for operators."""

    def start(self, name):
        metrics = Metrics(instance="i", role="entry")
        if name == "callers":
            self.entry = EchoEntry()
            app = CallersApp(
                self.entry,
                metrics=metrics,
                traces=Traces(instance="i"),
                max_body_bytes=lambda: MAX_BODY_BYTES,
            )
        else:
            app = AdminApp(RejectingDaemon(), metrics=metrics, keys=lambda: (KEY,))
        rejected = queue.SimpleQueue()
        server = HttpServer(
            "127.0.0.1:0", app, workers=WORKERS, name=name, on_rejected=rejected.put
        )
        server.start()
        self.addCleanup(server.stop)
        return server, rejected, metrics

    def each_port(self):
        for name in ("callers", "admin"):
            with self.subTest(port=name):
                yield name, *self.start(name)

    def assert_serves(self, server):
        """Asserts that every worker is free and serves requests."""
        for _ in range(2 * WORKERS):
            client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
            client.request("GET", "/healthz")
            self.assertEqual(client.getresponse().status, 200)
            client.close()

    def parse_status(self, received):
        return int(received.split(b" ", 2)[1])

    def test_random_and_mutated_requests(self):
        """Guards against a handler that a malformed request crashes or blocks."""
        rng = random.Random(5)
        for _, server, rejected, _ in self.each_port():
            for _ in range(150):
                exchange(server.address, rng.randbytes(rng.randint(1, 300)) + b"\n")
                exchange(server.address, mutate(rng, VALID_REQUEST))
            self.assert_serves(server)
            self.assertFalse(rejected.empty())

    def test_truncated_requests(self):
        """Guards against running a truncated request."""
        for name, server, _, _ in self.each_port():
            for end in range(1, len(VALID_REQUEST), 7):
                received = exchange(server.address, VALID_REQUEST[:end])
                if name == "callers":
                    self.assertNotIn(b" 200 ", received[:20])
            self.assert_serves(server)

    def test_oversized_bodies_and_headers_are_rejected_and_counted(self):
        """Guards against memory use that a caller controls."""
        body = b"x" * (8 * MAX_BODY_BYTES)
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        cases = (
            (head + b"Content-Length: %d\r\n\r\n" % len(body) + body, 413, True),
            (head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked, 413, True),
            (head + b"X-A: " + b"a" * 100_000 + b"\r\n\r\n", 431, False),
            (head + b"".join(b"X-%d: a\r\n" % n for n in range(200)), 431, False),
            (b"GET /" + b"a" * 100_000 + b" HTTP/1.1\r\n\r\n", 414, False),
        )
        server, rejected, metrics = self.start("callers")
        for data, status, is_counted_by_app in cases:
            with self.subTest(status=status):
                received = exchange(server.address, data)
                # Unread bytes of the request may cause a connection reset.
                self.assertIn(received[:13], (b"HTTP/1.1 %d " % status, b""))
                if not is_counted_by_app:
                    self.assertIn(str(status), rejected.get(timeout=TIMEOUT))
        self.assertIn(
            b'kind="body_too_large",run_state="not_run"} 2.0', metrics.render()
        )
        self.assert_serves(server)

    def test_chunked_body_is_rejected_above_the_limit_and_complete_below(self):
        """Guards against running a request with a truncated body."""
        server, _, _ = self.start("callers")
        for size, status in ((0, 200), (1, 413)):
            body = b"x" * (MAX_BODY_BYTES + size)
            head = b"POST /services/s/p HTTP/1.1\r\nHost: x\r\n"
            chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
            received = exchange(server.address, data)
            self.assertEqual(self.parse_status(received), status)
        self.assertEqual(self.entry.bodies, [b"x" * MAX_BODY_BYTES])

    def test_deep_json_is_a_bad_request(self):
        """Guards against a RecursionError, which yields a response without a cause."""
        server, _, metrics = self.start("callers")
        for path in ("/v1/completions", "/v1/idempotency-keys"):
            client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
            client.request(
                "POST", path, DEEPLY_NESTED_JSON, {"Content-Type": "application/json"}
            )
            response = client.getresponse()
            self.assertEqual(response.status, 400)
            self.assertEqual(response.headers["X-Run-State"], "not_run")
            client.close()
        self.assertIn(b'kind="bad_request",run_state="not_run"} 2.0', metrics.render())

    def test_unsigned_commands_are_rejected(self):
        """Guards against unauthenticated configuration or drain of a daemon."""
        server, _, _ = self.start("admin")
        signatures = ("", "k:", "k:00", "other:00", "k:" + "é" * 10, ":" * 50)
        for path in ("/configuration", "/drain"):
            for signature in signatures:
                client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
                headers = {"X-Fighitch-Signature": signature.encode()}
                client.request("POST", path, DEEPLY_NESTED_JSON, headers)
                self.assertEqual(client.getresponse().status, 401)
                client.close()

    def test_request_that_arrives_byte_by_byte_times_out(self):
        """Guards against slow callers that occupy every thread indefinitely."""
        for _, server, rejected, _ in self.each_port():
            with mock.patch.object(http_server, "REQUEST_TIMEOUT", 0.2):
                socks = [self.connect(server) for _ in range(2 * WORKERS)]
                while rejected.empty():
                    for sock in socks:
                        with contextlib.suppress(OSError):
                            sock.sendall(b"a")
            self.assertIn("timed out", rejected.get(timeout=TIMEOUT))
            for sock in socks:
                sock.close()
            self.assert_serves(server)

    def test_idle_connections_do_not_lock_out_callers(self):
        """Guards against idle connections that use up the connection limit."""
        for _, server, rejected, _ in self.each_port():
            with mock.patch.object(http_server, "MAX_IDLE_CONNECTIONS", 8):
                socks = [self.connect(server) for _ in range(24)]
                self.assert_serves(server)
            self.assertEqual(rejected.get(timeout=TIMEOUT), "too many idle connections")
            for sock in socks:
                sock.close()

    def connect(self, server):
        host, _, port = server.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=TIMEOUT)
        self.addCleanup(sock.close)
        return sock


class PeerPortTests(unittest.TestCase):
    """The capnp port of a sidecar with the production core."""

    def setUp(self):
        core = SidecarCore(
            "engine-1",
            7,
            test_fleet.server("engine-1").spec,
            TicketSigner([KEY]),
            SidecarSettings(),
            random.Random(1),
        )
        self.effects = queue.SimpleQueue()
        self.core_loop = CoreLoop(
            core,
            Peer(Role.SIDECAR, "engine-1", 7),
            [KEY],
            on_effect=self.effects.put,
            listen_address="127.0.0.1:0",
        )
        resources = tuple(test_fleet.configuration())
        self.core_loop.post(inputs.ConfigurationReceived(resources, 1))
        thread = threading.Thread(target=self.core_loop.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, TIMEOUT)
        self.addCleanup(self.core_loop.stop)

    def connect(self):
        host, _, port = self.core_loop.listen_address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=TIMEOUT)
        self.addCleanup(sock.close)
        return sock

    def authenticate(self, *, key=KEY):
        """Returns a socket after a complete handshake and its frame reader."""
        sock, reader = self.connect(), FrameReader()
        entry = Peer(Role.ENTRY, "entry-1", 1)
        handshake = Handshake(
            entry, [key], nonce=os.urandom(NONCE_BYTES), is_connecting=True
        )
        for message in handshake.start():
            sock.sendall(frame(encode(message)))
        while handshake.peer is None:
            for answer in handshake.receive(decode(self.read(sock, reader))):
                sock.sendall(frame(encode(answer)))
        reader.raise_limit()
        return sock, reader

    def read(self, sock, reader):
        while True:
            for body in reader.messages():
                return body
            data = sock.recv(65_536)
            if not data:
                raise ConnectionError("closed by the sidecar")
            reader.feed(data)

    def wait_for_rejections(self, count):
        found = 0
        while found < count:
            event = self.effects.get(timeout=TIMEOUT)
            found += isinstance(event, LogEvent) and event.name == "peer_refused"

    def assert_serves(self):
        sock, reader = self.authenticate()
        self.assertIsInstance(decode(self.read(sock, reader)), messages.Heartbeat)
        sock.close()

    def assert_no_connections(self):
        """Asserts that no connection is left open."""
        while self.core_loop.run_on_core(
            lambda _: len(self.core_loop._connections)
        ).result(TIMEOUT):
            pass

    def test_random_and_mutated_bytes_before_the_handshake(self):
        """Guards against unknown peers that crash a sidecar or exhaust its memory."""
        rng = random.Random(6)
        hello = Hello(1, Role.ENTRY, "entry-1", 1, "a", b"n" * NONCE_BYTES)
        valid = frame(encode(hello))
        for _ in range(150):
            exchange(self.core_loop.listen_address, rng.randbytes(rng.randint(1, 300)))
            exchange(self.core_loop.listen_address, mutate(rng, valid))
        self.wait_for_rejections(50)
        self.assert_no_connections()
        self.assert_serves()

    def test_oversized_frame_before_the_handshake_is_rejected_immediately(self):
        """Guards against buffering megabytes of an unauthenticated peer."""
        sock = self.connect()
        sock.sendall(b"\x00\x40\x00\x00")
        self.assertEqual(sock.recv(1), b"")
        self.wait_for_rejections(1)
        self.assert_serves()

    def test_wrong_key_is_rejected(self):
        """Guards against requests from a process without the shared key."""
        for key in (SharedKey("k", b"w" * 32), SharedKey("other", b"s" * 32)):
            with self.assertRaises(Exception) as caught:
                sock, reader = self.authenticate(key=key)
                self.read(sock, reader)
            self.assertNotIsInstance(caught.exception, AssertionError)
        self.assert_no_connections()
        self.assert_serves()

    def test_idle_unauthenticated_connections_are_bounded(self):
        """Guards against unauthenticated peers that exhaust the file descriptors."""
        with (
            mock.patch.object(core_loop, "MAX_UNAUTHENTICATED", 4),
            mock.patch.object(core_loop, "HANDSHAKE_TIMEOUT", 0.2),
        ):
            socks = [self.connect() for _ in range(20)]
            self.wait_for_rejections(16)
            self.assert_no_connections()
            self.assert_serves()
        for sock in socks:
            sock.close()

    def test_mutated_messages_after_the_handshake(self):
        """Guards against one faulty peer that crashes the process for all others."""
        rng = random.Random(7)
        for _ in range(100):
            sock, _ = self.authenticate()
            for _ in range(3):
                data = bytearray(frame(encode(rng.choice(MESSAGES))))
                at = rng.randrange(len(data))
                data[at] = rng.randrange(256)
                with contextlib.suppress(OSError):
                    sock.sendall(data)
            sock.close()
        self.assert_no_connections()
        self.assert_serves()

    def test_deep_json_in_a_configuration_is_dropped(self):
        """Guards against a RecursionError in the loop."""
        sock, reader = self.authenticate()
        self.read(sock, reader)
        delta = messages.ConfigurationDelta(0, 9, b"[" * 100_000)
        sock.sendall(frame(encode(delta)))
        self.assert_serves()

    def test_peer_that_does_not_read_is_disconnected(self):
        """Guards against an unbounded send buffer for a peer that never reads."""
        with mock.patch.object(connections, "MAX_UNSENT_BYTES", 200_000):
            sock, _ = self.authenticate()
            request = frame(encode(messages.ConfigurationRequest(0)))
            try:
                while True:
                    sock.sendall(request * 50)
            except OSError as error:
                self.assertNotIsInstance(error, TimeoutError)
        self.assert_no_connections()
        self.assert_serves()


class CoreTests(unittest.TestCase):
    """Messages that decode but are invalid."""

    def test_mutated_messages_never_raise(self):
        """Guards against a core that a faulty or newer peer crashes."""
        rng = random.Random(8)
        for trial in range(900):
            role = ("engine", "service", "entry")[trial % 3]
            deliver = (
                _build_entry_handler(rng)
                if role == "entry"
                else _build_sidecar_handler(role)
            )
            for _ in range(6):
                message = self.mutate_message(rng)
                if message is None:
                    continue
                with self.subTest(role=role, message=message):
                    for effect in deliver(message):
                        if isinstance(effect, effects.Send):
                            encode(effect.message)

    def mutate_message(self, rng):
        message = rng.choice(MESSAGES)
        if isinstance(message, messages.Submit) and message.ticket:
            message = dataclasses.replace(message, ticket=sidecar_helpers.sign_ticket())
        data = bytearray(encode(message))
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.choice((rng.randrange(256), 0, 255))
        try:
            decoded = decode(bytes(data))
        except CodecError:
            return None
        return None if isinstance(decoded, Hello | Proof) else decoded


def _build_sidecar_handler(role):
    if role == "service":
        sidecar = sidecar_helpers.SidecarDriver(spec=sidecar_helpers.SERVICE)
        sidecar.order("o1")
    else:
        sidecar = sidecar_helpers.SidecarDriver()
        sidecar.submit()

    def deliver(message):
        return sidecar.receive(message) + sidecar.tick(after=0.3)

    return deliver


def _build_entry_handler(rng):
    core = EntryCore(
        "entry-1",
        1,
        signer=test_fleet.SIGNER,
        rng=random.Random(1),
        peers=["ip:engine-1"],
    )
    handle = functools.partial(core.handle, now=100.0)
    handle(inputs.ConfigurationReceived(tuple(test_fleet.configuration()), 1))
    names = dict(enumerate(test_fleet.SIDECARS, 1))
    for number, name in names.items():
        peer = Peer(Role.SIDECAR, name, 5)
        handle(inputs.ConnectionOpened(number, peer, f"ip:{name}"))
        load = messages.LoadReport((0,), (0,), 4)
        handle(inputs.MessageReceived(number, messages.Heartbeat(1, 1, load=load)))
    fields = {"key_digest": test_fleet.DIGEST, "path": "/p", "body": b"{}"}
    handle(inputs.CallerRequest("r", model="a@1", service="", streamed=True, **fields))
    fields["idempotency_key"] = "key"
    handle(inputs.CallerRequest("q", model="", service="orders", **fields))

    def deliver(message):
        received = inputs.MessageReceived(rng.choice(list(names)), message)
        return core.handle(received, now=100.2) + core.handle(inputs.Tick(), now=100.4)

    return deliver
