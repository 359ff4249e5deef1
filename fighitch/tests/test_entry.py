"""Tests of ``fighitch.core.entry.core`` and ``fighitch.core.entry.dispatch``."""

import unittest

from fighitch.core.configuration import encode_resources
from fighitch.core.effects import AnswerEnded, AnswerFailed, Stop
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.inputs import (
    CallerGone,
    ConfigurationReceived,
    ConnectionClosed,
    ConnectionFailed,
    ConnectionOpened,
    DrainRequested,
)
from fighitch.core.messages import (
    Cancel,
    ConfigurationDelta,
    ConfigurationRequest,
    Peer,
    Resume,
    Role,
    Submit,
)
from fighitch.core.resources import Kind, Resource
from fighitch.tests.entry_helpers import (
    INCARNATION,
    EntryDriver,
    build_response,
    configuration,
    sign_ticket,
)


class PlanningTests(unittest.TestCase):
    def test_invalid_requests_are_rejected_before_dispatch(self):
        for fields, kind in (
            ({"key_digest": ""}, ErrorKind.UNAUTHENTICATED),
            ({"key_digest": "0"}, ErrorKind.UNAUTHENTICATED),
            ({"model": "none"}, ErrorKind.UNKNOWN_ADAPTER),
            ({"model": "ad@9"}, ErrorKind.UNKNOWN_VERSION),
            ({"model": "", "service": "none"}, ErrorKind.UNKNOWN_SERVICE),
            ({"work": "order"}, ErrorKind.FORBIDDEN),
        ):
            driver = EntryDriver()
            driver.send_request(**fields)
            self.assertIs(driver.failure.kind, kind)
            self.assertIs(driver.failure.run_state, RunState.NOT_RUN)
            self.assertEqual(driver.sent(Submit), [])

    def test_version_is_resolved_before_dispatch(self):
        """Guards against a retry on another version after a change of the default."""
        driver = EntryDriver()
        driver.send_request("r1", model="ad@1")
        driver.send_request("r2")
        versions = [str(submit.adapter_version) for _, submit in driver.sent(Submit)]
        self.assertEqual(versions, ["ad@1", "ad@2"])

    def test_requests_in_flight_of_a_caller_are_limited(self):
        driver = EntryDriver(resources=configuration(max_in_flight=2))
        for number in range(3):
            driver.send_request(f"r{number}")
        self.assertEqual(driver.effects_of(AnswerFailed)[0].request_id, "r2")
        self.assertIs(driver.failure.kind, ErrorKind.OVERLOADED)
        driver.handle(CallerGone("r0"))
        driver.send_request("r3")
        self.assertEqual(len(driver.sent(Submit)), 3)

    def test_not_ready_without_configuration(self):
        driver = EntryDriver(resources=(), connect=False)
        self.assertFalse(driver.core.is_ready)
        driver.send_request()
        self.assertIs(driver.failure.kind, ErrorKind.NOT_READY)


class FailureTests(unittest.TestCase):
    def submit(self, **fields):
        driver = EntryDriver()
        driver.send_request(**fields)
        [(name, submit)] = driver.sent(Submit)
        return driver, name, submit

    def test_request_to_an_unreachable_server_is_sent_to_another_one(self):
        driver = EntryDriver(connect=False)
        driver.send_request()
        first = driver.logged("request_routed")[0]["member"]
        driver.handle(ConnectionFailed(f"{first}:1", "refused"))
        second = driver.logged("request_routed")[1]["member"]
        driver.open(f"{second}:1")
        self.assertNotEqual(first, second)
        self.assertEqual([name for name, _ in driver.sent(Submit)], [second])

    def test_request_to_a_restarted_server_is_retried_on_another_one(self):
        driver, name, _ = self.submit()
        driver.handle(ConnectionClosed(driver.connection(name)))
        driver.open(f"{name}:1", incarnation=INCARNATION + 1)
        self.assertEqual(driver.sent(Resume), [])
        self.assertNotEqual(driver.sent(Submit)[-1][0], name)

    def test_started_stream_is_not_retried(self):
        """Guards against a stream that starts again after its first chunks."""
        driver, name, submit = self.submit(streamed=True)
        driver.receive(name, build_response(submit, b"a", b"b")[0])
        driver.handle(ConnectionClosed(driver.connection(name)))
        driver.open(f"{name}:1", incarnation=INCARNATION + 1)
        self.assertEqual(len(driver.sent(Submit)), 1)
        self.assertIs(driver.failure.kind, ErrorKind.BACKEND_FAILED)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)

    def test_deadline_cancels_an_idempotent_request(self):
        driver, name, _ = self.submit(timeout=1.0)
        driver.keep_alive(1.0)
        self.assertEqual(driver.effects_of(AnswerFailed), [])
        driver.tick(0.11)
        self.assertIs(driver.failure.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertIs(driver.failure.run_state, RunState.UNKNOWN)
        self.assertEqual(driver.sent(Cancel), [(name, Cancel("r1", 1))])

    def test_retry_gets_the_remaining_time(self):
        """Guards against a retry that starts with the full deadline."""
        driver, name, _ = self.submit(timeout=2.0)
        driver.keep_alive(0.5)
        driver.handle(ConnectionClosed(driver.connection(name)))
        driver.handle(ConnectionFailed(f"{name}:1", "refused"))
        remaining = [submit.remaining for _, submit in driver.sent(Submit)]
        self.assertEqual(remaining, [2_000, 1_500])

    def test_disconnected_caller_cancels_an_idempotent_request(self):
        driver, name, _ = self.submit()
        driver.handle(CallerGone("r1"))
        self.assertEqual(driver.sent(Cancel), [(name, Cancel("r1", 1))])
        self.assertEqual(driver.effects_of(AnswerFailed), [])

    def test_removed_server_completes_its_requests(self):
        """Guards against aborting requests when an operator deletes a server."""
        driver, name, submit = self.submit()
        deleted = Resource(kind=Kind.BACKEND_SERVER, name=name, revision=11)
        driver.handle(ConfigurationReceived((deleted,), 11, 10))
        driver.tick()
        for message in build_response(submit, b"a"):
            driver.receive(name, message)
        self.assertEqual(driver.answer.body, b"a")
        driver.send_request("r2")
        self.assertNotEqual(driver.sent(Submit)[-1][0], name)

    def test_zone_cut_is_logged_and_orders_wait_for_its_end(self):
        driver = EntryDriver(resources=configuration(engines=9))
        driver.send_order(key=sign_ticket("s0"))
        for _ in range(8):
            for name in ("e1", "e2", "e4", "e5", "e7", "e8", "s1"):
                driver.heartbeat(name)
            driver.tick(0.5)
        [cut] = driver.logged("zone_cut")
        self.assertEqual(cut["availability_zone"], "a")
        self.assertEqual(driver.logged("member_dead"), [])
        driver.open("s0:1")
        self.assertEqual([name for name, _ in driver.sent(Submit)], ["s0", "s0"])


class ConfigurationTests(unittest.TestCase):
    def test_newer_revision_of_a_peer_is_requested_and_merged(self):
        driver = EntryDriver()
        driver.send_request("r0")
        driver.heartbeat("e0", revision=12)
        self.assertEqual(
            driver.sent(ConfigurationRequest), [("e0", ConfigurationRequest(10))]
        )
        deleted = Resource(kind=Kind.ADAPTER, name="ad", revision=12)
        delta = ConfigurationDelta(10, 12, encode_resources([deleted]))
        driver.receive("e0", delta)
        driver.send_request()
        self.assertIs(driver.failure.kind, ErrorKind.UNKNOWN_ADAPTER)

    def test_peer_gets_the_changes_that_it_lacks(self):
        driver = EntryDriver()
        driver.receive("e0", ConfigurationRequest(0))
        [(name, delta)] = driver.sent(ConfigurationDelta)
        self.assertEqual((name, delta.base, delta.revision), ("e0", 0, 10))

    def test_entry_without_configuration_requests_it_on_connect(self):
        driver = EntryDriver(resources=(), connect=False, peers=("x:1",))
        driver.addresses[1] = "x"
        driver.handle(ConnectionOpened(1, Peer(Role.ENTRY, "x", 5), "x:1"))
        self.assertEqual(
            driver.sent(ConfigurationRequest), [("x", ConfigurationRequest(0))]
        )


class DrainTests(unittest.TestCase):
    def test_drain_completes_the_requests_in_flight(self):
        """Guards against a planned stop that aborts requests."""
        driver = EntryDriver()
        driver.send_request("r1")
        driver.handle(DrainRequested())
        driver.send_request("r2")
        self.assertIs(driver.failure.kind, ErrorKind.DRAINING)
        self.assertIs(driver.failure.run_state, RunState.NOT_RUN)
        self.assertEqual(driver.effects_of(Stop), [])
        [(name, submit)] = driver.sent(Submit)
        for message in build_response(submit, b"a"):
            driver.receive(name, message)
        self.assertEqual(len(driver.effects_of(AnswerEnded)), 1)
        driver.tick()
        self.assertEqual(len(driver.effects_of(Stop)), 1)


class ObservabilityTests(unittest.TestCase):
    def test_status_and_audit_records(self):
        driver = EntryDriver()
        driver.send_request()
        status = driver.core.status(now=driver.now)
        self.assertTrue(status.is_ready)
        self.assertEqual((status.in_flight, status.connections), (((1, 1),), 5))
        self.assertEqual(sum(member.in_flight for member in status.backend_servers), 1)
        events = [record.event for record in driver.core.explain("r1")]
        self.assertEqual(
            events, ["request_accepted", "request_routed", "request_submitted"]
        )
