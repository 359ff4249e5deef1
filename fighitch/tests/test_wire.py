"""Tests of the package ``fighitch.wire``."""

import random
import unittest

from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.messages import (
    MAX_MESSAGE_BYTES,
    AdapterVersion,
    Cancel,
    Chunk,
    ConfigurationDelta,
    ConfigurationRequest,
    End,
    Heartbeat,
    LoadReport,
    Peer,
    PermitGrant,
    PermitRequest,
    PermitReturn,
    Refused,
    Resume,
    Role,
    Submit,
)
from fighitch.core.tickets import SharedKey
from fighitch.wire.codec import CodecError, Proof, decode, encode
from fighitch.wire.framing import FrameReader, frame
from fighitch.wire.handshake import NONCE_BYTES, Handshake, HandshakeError

MESSAGES = (
    Submit("r", 1, "c", 2, AdapterVersion("a", "v"), "/p", b"body", 500, streamed=True),
    Submit("r", 1, "c", 0, None, "/p", b"", 5, idempotent=False, ticket="t"),
    Cancel("r", 2),
    Chunk("r", 1, 7, b"\x00data", 404),
    End("r", 1, 200, 8, 99, 2**64 - 1, "a@v", RunState.RAN, "text/plain", 1, 2, True),
    Refused("r", 1, ErrorKind.OVERLOADED, RunState.NOT_RUN, "full", 250),
    Resume("r", 1, 3),
    Heartbeat(1, 2, True, 3, LoadReport((1, 2), (3, 4), 16, frozenset({"a@v"}))),
    Heartbeat(9),
    Heartbeat(9, ahead=2**64 - 1, unreachable=True, interval=10_667),
    ConfigurationRequest(4),
    ConfigurationDelta(4, 6, b"[]"),
    PermitRequest(2),
    PermitGrant(("p1", "p2")),
    PermitReturn(("p1",)),
)


class CodecTests(unittest.TestCase):
    def test_every_message_survives_a_round_trip(self):
        for message in MESSAGES:
            with self.subTest(type(message).__name__):
                self.assertEqual(decode(encode(message)), message)

    def test_random_and_mutated_bytes_are_rejected_or_decoded(self):
        """Guards against a crash of the process on malformed bytes from a peer."""
        rng = random.Random(4)
        for _ in range(2_000):
            data = bytearray(encode(rng.choice(MESSAGES)))
            for _ in range(rng.randint(1, 8)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            for sample in (bytes(data), rng.randbytes(rng.randint(1, 200))):
                try:
                    decode(sample)
                except CodecError:
                    continue

    def test_message_over_the_limit_is_not_encoded(self):
        with self.assertRaises(CodecError):
            encode(Chunk("r", 1, 0, b"x" * MAX_MESSAGE_BYTES))


class FramingTests(unittest.TestCase):
    def test_messages_are_split_independently_of_tcp_segments(self):
        """Guards against relying on TCP segment boundaries between messages."""
        stream = b"".join(frame(encode(message)) for message in MESSAGES)
        reader, found = FrameReader(), []
        for start in range(0, len(stream), 13):
            reader.feed(stream[start : start + 13])
            found += [decode(data) for data in reader.messages()]
        self.assertEqual(tuple(found), MESSAGES)

    def test_unauthenticated_peer_cannot_announce_a_large_message(self):
        """Guards against buffering large amounts of data for an unknown peer."""
        reader = FrameReader()
        reader.feed((10_000).to_bytes(4, "big"))
        with self.assertRaises(CodecError):
            list(reader.messages())
        reader = FrameReader()
        reader.raise_limit()
        reader.feed((10_000).to_bytes(4, "big"))
        self.assertEqual(list(reader.messages()), [])


class HandshakeTests(unittest.TestCase):
    OLD, NEW = SharedKey("old", b"1" * 32), SharedKey("new", b"2" * 32)
    ENTRY = Peer(Role.ENTRY, "entry-1", 11, "a")
    SIDECAR = Peer(Role.SIDECAR, "engine-1", 22, "b")

    def exchange(self, connecting_keys, accepting_keys):
        connecting = Handshake(
            self.ENTRY, connecting_keys, nonce=b"a" * NONCE_BYTES, is_connecting=True
        )
        accepting = Handshake(
            self.SIDECAR, accepting_keys, nonce=b"b" * NONCE_BYTES, is_connecting=False
        )
        (hello,) = connecting.start()
        (response,) = accepting.receive(hello)
        (proof,) = connecting.receive(response)
        accepting.receive(proof)
        return connecting.peer, accepting.peer

    def test_both_sides_authenticate_the_peer(self):
        self.assertEqual(
            self.exchange([self.OLD], [self.OLD]), (self.SIDECAR, self.ENTRY)
        )

    def test_keys_can_be_rotated_without_interruption(self):
        """Guards against a key rotation that must reach all processes at once."""
        self.exchange([self.NEW, self.OLD], [self.OLD, self.NEW])

    def test_unknown_key_is_rejected(self):
        with self.assertRaises(HandshakeError):
            self.exchange([self.NEW], [self.OLD])

    def test_wrong_secret_for_a_known_key_id_is_rejected(self):
        with self.assertRaises(HandshakeError):
            self.exchange([SharedKey("old", b"3" * 32)], [self.OLD])

    def test_messages_before_the_handshake_are_rejected(self):
        """Guards against requests accepted from an unauthenticated peer."""
        for message in (Cancel("r", 1), Proof("old", b"")):
            receiver = Handshake(
                self.SIDECAR, [self.OLD], nonce=b"b" * NONCE_BYTES, is_connecting=False
            )
            with self.assertRaises(HandshakeError):
                receiver.receive(message)
            self.assertIsNone(receiver.peer)
