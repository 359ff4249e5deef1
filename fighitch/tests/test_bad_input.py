"""Bad input at every port: nothing crashes, memory stays bounded, others are served."""

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
VALID = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\n"
    b"Content-Type: application/json\r\nContent-Length: 13\r\n\r\n"
    b'{"model":"a"}'
)
DEEP = b"[" * 9_000


def mutated(rng, data):
    """Returns the data with a few bytes changed, removed or doubled."""
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
    """Sends bytes, ends the sending side and returns whatever comes back."""
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


class EchoLink:
    """An entry that answers every request at once."""

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


class EchoDaemon:
    """A daemon whose administration has no effect."""

    def is_ready(self):
        return True

    def status(self):
        return {}

    def configuration(self):
        return {}

    def take_configuration(self, resources):
        raise AssertionError("unsigned configuration was taken")

    def explain(self, request_id):
        return []

    def drain(self):
        raise AssertionError("an unsigned drain was obeyed")


class HttpTests(unittest.TestCase):
    """Both HTTP ports; each test runs against the callers' and the operators' one."""

    def start(self, name):
        metrics = Metrics(instance="i", role="entry")
        if name == "callers":
            self.link = EchoLink()
            app = CallersApp(
                self.link,
                metrics=metrics,
                traces=Traces(instance="i"),
                max_body_bytes=lambda: MAX_BODY_BYTES,
            )
        else:
            app = AdminApp(EchoDaemon(), metrics=metrics, keys=lambda: (KEY,))
        refused = queue.SimpleQueue()
        server = HttpServer(
            "127.0.0.1:0", app, workers=WORKERS, name=name, on_rejected=refused.put
        )
        server.start()
        self.addCleanup(server.stop)
        return server, refused, metrics

    def each_port(self):
        for name in ("callers", "admin"):
            with self.subTest(port=name):
                yield name, *self.start(name)

    def assert_serves(self, server):
        """Asserts that every worker is free again and serves."""
        for _ in range(2 * WORKERS):
            client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
            client.request("GET", "/healthz")
            self.assertEqual(client.getresponse().status, 200)
            client.close()

    def status_of(self, received):
        return int(received.split(b" ", 2)[1])

    def test_random_and_mutated_requests(self):
        """Guards against a handler that a broken request ends or blocks for good."""
        rng = random.Random(5)
        for _, server, refused, _ in self.each_port():
            for _ in range(150):
                exchange(server.address, rng.randbytes(rng.randint(1, 300)) + b"\n")
                exchange(server.address, mutated(rng, VALID))
            self.assert_serves(server)
            self.assertFalse(refused.empty())

    def test_truncated_requests(self):
        """Guards against a request that is run although its end is missing."""
        for name, server, _, _ in self.each_port():
            for end in range(1, len(VALID), 7):
                received = exchange(server.address, VALID[:end])
                if name == "callers":
                    self.assertNotIn(b" 200 ", received[:20])
            self.assert_serves(server)

    def test_oversized_bodies_and_headers_are_refused_and_counted(self):
        """Guards against memory that a caller decides on."""
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
        server, refused, metrics = self.start("callers")
        for data, status, is_counted_by_app in cases:
            with self.subTest(status=status):
                received = exchange(server.address, data)
                # The rest that was not read may reset the connection.
                self.assertIn(received[:13], (b"HTTP/1.1 %d " % status, b""))
                if not is_counted_by_app:
                    self.assertIn(str(status), refused.get(timeout=TIMEOUT))
        self.assertIn(
            b'kind="body_too_large",run_state="not_run"} 2.0', metrics.render()
        )
        self.assert_serves(server)

    def test_chunked_body_is_refused_above_the_limit_and_whole_below(self):
        """Guards against a request that is run with a part of its body."""
        server, _, _ = self.start("callers")
        for size, status in ((0, 200), (1, 413)):
            body = b"x" * (MAX_BODY_BYTES + size)
            head = b"POST /services/s/p HTTP/1.1\r\nHost: x\r\n"
            chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            data = head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
            received = exchange(server.address, data)
            self.assertEqual(self.status_of(received), status)
        self.assertEqual(self.link.bodies, [b"x" * MAX_BODY_BYTES])

    def test_deep_json_is_a_bad_request(self):
        """Guards against a RecursionError, which ends in an answer without a cause."""
        server, _, metrics = self.start("callers")
        for path in ("/v1/completions", "/v1/idempotency-keys"):
            client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
            client.request("POST", path, DEEP, {"Content-Type": "application/json"})
            response = client.getresponse()
            self.assertEqual(response.status, 400)
            self.assertEqual(response.headers["X-Run-State"], "not_run")
            client.close()
        self.assertIn(b'kind="bad_request",run_state="not_run"} 2.0', metrics.render())

    def test_unsigned_commands_are_refused(self):
        """Guards against strangers that configure or drain a daemon."""
        server, _, _ = self.start("admin")
        signatures = ("", "k:", "k:00", "other:00", "k:" + "é" * 10, ":" * 50)
        for path in ("/configuration", "/drain"):
            for signature in signatures:
                client = http.client.HTTPConnection(server.address, timeout=TIMEOUT)
                headers = {"X-Fighitch-Signature": signature.encode()}
                client.request("POST", path, DEEP, headers)
                self.assertEqual(client.getresponse().status, 401)
                client.close()

    def test_request_that_arrives_byte_by_byte_is_ended(self):
        """Guards against slow callers that hold every thread without end."""
        for _, server, refused, _ in self.each_port():
            with mock.patch.object(http_server, "REQUEST_TIMEOUT", 0.2):
                socks = [self.connect(server) for _ in range(2 * WORKERS)]
                while refused.empty():
                    for sock in socks:
                        with contextlib.suppress(OSError):
                            sock.sendall(b"a")
            self.assertIn("timed out", refused.get(timeout=TIMEOUT))
            for sock in socks:
                sock.close()
            self.assert_serves(server)

    def test_idle_connections_do_not_keep_callers_out(self):
        """Guards against a full table of idle connections that refuses everyone."""
        for _, server, refused, _ in self.each_port():
            with mock.patch.object(http_server, "MAX_IDLE_CONNECTIONS", 8):
                socks = [self.connect(server) for _ in range(24)]
                self.assert_serves(server)
            self.assertEqual(refused.get(timeout=TIMEOUT), "too many idle connections")
            for sock in socks:
                sock.close()

    def connect(self, server):
        host, _, port = server.address.rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=TIMEOUT)
        self.addCleanup(sock.close)
        return sock


class PeerPortTests(unittest.TestCase):
    """The capnp port of a sidecar with its real core."""

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
        """Returns a connection after the handshake and its reader."""
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

    def refusals(self, count):
        found = 0
        while found < count:
            event = self.effects.get(timeout=TIMEOUT)
            found += isinstance(event, LogEvent) and event.name == "peer_refused"

    def assert_serves(self):
        sock, reader = self.authenticate()
        self.assertIsInstance(decode(self.read(sock, reader)), messages.Heartbeat)
        sock.close()

    def assert_nothing_is_kept(self):
        """Asserts that the connections of strangers are gone."""
        while self.core_loop.run_on_core(
            lambda _: len(self.core_loop._connections)
        ).result(TIMEOUT):
            pass

    def test_random_and_mutated_bytes_before_the_handshake(self):
        """Guards against strangers that take a sidecar down or fill its memory."""
        rng = random.Random(6)
        hello = Hello(1, Role.ENTRY, "entry-1", 1, "a", b"n" * NONCE_BYTES)
        valid = frame(encode(hello))
        for _ in range(150):
            exchange(self.core_loop.listen_address, rng.randbytes(rng.randint(1, 300)))
            exchange(self.core_loop.listen_address, mutated(rng, valid))
        self.refusals(50)
        self.assert_nothing_is_kept()
        self.assert_serves()

    def test_oversized_frame_before_the_handshake_is_refused_at_once(self):
        """Guards against a stranger that makes the sidecar wait for megabytes."""
        sock = self.connect()
        sock.sendall(b"\x00\x40\x00\x00")
        self.assertEqual(sock.recv(1), b"")
        self.refusals(1)
        self.assert_serves()

    def test_wrong_key_is_refused_and_counted(self):
        """Guards against work from a process that does not know the shared key."""
        for key in (SharedKey("k", b"w" * 32), SharedKey("other", b"s" * 32)):
            with self.assertRaises(Exception) as caught:
                sock, reader = self.authenticate(key=key)
                self.read(sock, reader)
            self.assertNotIsInstance(caught.exception, AssertionError)
        self.assert_nothing_is_kept()
        self.assert_serves()

    def test_silent_connections_do_not_pile_up(self):
        """Guards against strangers that use up the file descriptors."""
        with (
            mock.patch.object(core_loop, "MAX_UNAUTHENTICATED", 4),
            mock.patch.object(core_loop, "HANDSHAKE_TIMEOUT", 0.2),
        ):
            socks = [self.connect() for _ in range(20)]
            self.refusals(16)
            self.assert_nothing_is_kept()
            self.assert_serves()
        for sock in socks:
            sock.close()

    def test_mutated_messages_after_the_handshake(self):
        """Guards against one broken peer that ends the process for all others."""
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
        self.assert_nothing_is_kept()
        self.assert_serves()

    def test_deep_json_in_a_configuration_is_dropped(self):
        """Guards against a RecursionError in the loop."""
        sock, reader = self.authenticate()
        self.read(sock, reader)
        delta = messages.ConfigurationDelta(0, 9, b"[" * 100_000)
        sock.sendall(frame(encode(delta)))
        self.assert_serves()

    def test_peer_that_does_not_read_is_cut_off(self):
        """Guards against answers that pile up for a peer that never reads them."""
        with mock.patch.object(connections, "MAX_UNSENT_BYTES", 200_000):
            sock, _ = self.authenticate()
            request = frame(encode(messages.ConfigurationRequest(0)))
            try:
                while True:
                    sock.sendall(request * 50)
            except OSError as error:
                self.assertNotIsInstance(error, TimeoutError)
        self.assert_nothing_is_kept()
        self.assert_serves()


class CoreTests(unittest.TestCase):
    """Messages that decode but make no sense."""

    def test_mutated_messages_never_raise(self):
        """Guards against a core that a broken or newer peer takes down."""
        rng = random.Random(8)
        for trial in range(900):
            role = ("engine", "service", "entry")[trial % 3]
            give = _entry(rng) if role == "entry" else _sidecar(role)
            for _ in range(6):
                message = self.mutated_message(rng)
                if message is None:
                    continue
                with self.subTest(role=role, message=message):
                    for effect in give(message):
                        if isinstance(effect, effects.Send):
                            encode(effect.message)

    def mutated_message(self, rng):
        message = rng.choice(MESSAGES)
        if isinstance(message, messages.Submit) and message.ticket:
            message = dataclasses.replace(message, ticket=sidecar_helpers.mint())
        data = bytearray(encode(message))
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.choice((rng.randrange(256), 0, 255))
        try:
            decoded = decode(bytes(data))
        except CodecError:
            return None
        return None if isinstance(decoded, Hello | Proof) else decoded


def _sidecar(role):
    if role == "service":
        sidecar = sidecar_helpers.Sidecar(spec=sidecar_helpers.SERVICE)
        sidecar.order("o1")
    else:
        sidecar = sidecar_helpers.Sidecar()
        sidecar.submit()

    def give(message):
        return sidecar.receive(message) + sidecar.tick(after=0.3)

    return give


def _entry(rng):
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

    def give(message):
        received = inputs.MessageReceived(rng.choice(list(names)), message)
        return core.handle(received, now=100.2) + core.handle(inputs.Tick(), now=100.4)

    return give
