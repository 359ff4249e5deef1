"""Tests of ``fighitch.core.sidecar``."""

import unittest

import xxhash

from fighitch.core import effects, inputs, messages
from fighitch.core.errors import ErrorKind, RunState
from fighitch.core.resources import WorkPolicySpec
from fighitch.tests.sidecar_helpers import (
    BATCH,
    INTERACTIVE,
    OTHER,
    SERVICE,
    URGENT,
    VERSION,
    SidecarDriver,
    backend_server,
    policy,
    sign_ticket,
)


def rejections(sidecar):
    return [
        (refused.kind, refused.run_state) for refused in sidecar.sent(messages.Refused)
    ]


class ResponseTests(unittest.TestCase):
    def test_stream_is_numbered_and_its_end_describes_it(self):
        """Guards against a response with missing chunks that are not detected."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("one")
        sidecar.data("two")
        sidecar.end()
        chunks = sidecar.sent(messages.Chunk)
        self.assertEqual([chunk.sequence for chunk in chunks], [0, 1])
        (end,) = sidecar.sent(messages.End)
        self.assertEqual((end.chunk_count, end.byte_length), (2, 6))
        self.assertEqual(end.digest, xxhash.xxh3_64_intdigest(b"onetwo"))
        self.assertEqual(end.model, "a@1")
        self.assertEqual((sidecar.core.pins, sidecar.core.in_flight), (0, 0))

    def test_refusal_of_a_backend_server_is_never_reported_as_not_run(self):
        """Guards against an earlier refusal that a server sends again."""
        for status in (421, 429, 503):
            sidecar = SidecarDriver(spec=SERVICE)
            sidecar.order()
            sidecar.start(status=status)
            sidecar.end()
            (end,) = sidecar.sent(messages.End)
            self.assertEqual((end.status, end.run_state), (status, RunState.RAN))
            self.assertEqual(rejections(sidecar), [])

    def test_repeated_submit_of_an_attempt_runs_once(self):
        """Guards against executing a request twice after a duplicate message."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.submit()
        self.assertEqual(len(sidecar.calls()), 1)

    def test_same_request_id_of_another_entry_is_another_request(self):
        """Guards against delivering a response to the wrong caller."""
        sidecar = SidecarDriver()
        sidecar.connect(2, entry="e2")
        sidecar.submit(connection=1)
        sidecar.submit(connection=2)
        for call in sidecar.calls():
            sidecar.start(call)
            sidecar.data(f"for call {call.call}", call)
            sidecar.end(call)
        for connection in (1, 2):
            (chunk,) = sidecar.sent(messages.Chunk, connection=connection)
            self.assertEqual(chunk.data, b"for call %d" % connection)

    def test_response_beyond_the_size_limit_is_rejected_not_truncated(self):
        """Guards against truncated responses and unbounded memory use."""
        sidecar = SidecarDriver(max_buffered_bytes=4)
        sidecar.submit(streamed=False)
        sidecar.start()
        sidecar.data("1234")
        sidecar.data("5")
        self.assertEqual(sidecar.sent(messages.Chunk), [])
        expected = (ErrorKind.INCOMPLETE_ANSWER, RunState.UNKNOWN)
        self.assertEqual(rejections(sidecar), [expected])
        self.assertEqual((sidecar.cancelled(), sidecar.core.pins), ([1], 0))


class VersionTests(unittest.TestCase):
    def test_work_waits_until_its_version_is_loaded(self):
        """Guards against dispatching on a version that is not loaded."""
        sidecar = SidecarDriver()
        sidecar.submit(adapter_version=OTHER)
        self.assertEqual(sidecar.calls(), [])
        (load,) = sidecar.effects_of(effects.LoadAdapter)
        self.assertEqual((load.adapter_version, load.source), (OTHER, "w/1"))
        sidecar.handle(inputs.AdapterLoaded(OTHER, "boot1"), after=0.25)
        self.assertEqual(sidecar.last_call().adapter_version, OTHER)
        sidecar.start()
        sidecar.end(after=1.0)
        self.assertEqual(sidecar.sent(messages.End)[0].stalled, 250)

    def test_load_result_of_an_earlier_engine_boot_is_ignored(self):
        """Guards against a late load result that arrives after a cold restart."""
        sidecar = SidecarDriver()
        sidecar.submit(adapter_version=OTHER)
        sidecar.report("boot2", resident=())
        sidecar.handle(inputs.AdapterLoaded(OTHER, "boot1"))
        self.assertEqual(sidecar.calls(), [])

    def test_response_from_a_wrong_version_is_not_forwarded(self):
        """Guards against an engine that runs another adapter than requested."""
        sidecar = SidecarDriver()
        sidecar.submit()
        first = sidecar.last_call()
        sidecar.start(model="b@1")
        sidecar.data("wrong", first)
        self.assertEqual(sidecar.sent(messages.Chunk), [])
        self.assertEqual(sidecar.cancelled(), [first.call])
        self.assertEqual(len(sidecar.calls()), 1, "the slot table was not cleared")
        sidecar.report()
        self.assertEqual(len(sidecar.calls()), 2)
        sidecar.start(model="b@1")
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.WRONG_ADAPTER, RunState.UNKNOWN)]
        )
        self.assertEqual(sidecar.core.pins, 0)

    def test_running_call_stays_pinned_when_the_slot_table_is_rebuilt(self):
        """Guards against evicting a version in use after a version mismatch."""
        sidecar = SidecarDriver(resident=(VERSION, OTHER))
        sidecar.submit("r1")
        sidecar.start()
        sidecar.submit("r2", adapter_version=OTHER)
        sidecar.start(model="a@1")
        sidecar.report(resident=(VERSION, OTHER))
        requested = [messages.AdapterVersion(name, "1") for name in "cd"]
        for number, version in enumerate(requested):
            sidecar.submit(f"w{number}", adapter_version=version)
        sidecar.tick()
        unloads = sidecar.effects_of(effects.UnloadAdapter)
        self.assertNotIn(VERSION, [unload.adapter_version for unload in unloads])

    def test_failed_load_rejects_its_work_as_not_run(self):
        """Guards against requests that wait forever for a failed load."""
        sidecar = SidecarDriver()
        sidecar.submit(adapter_version=OTHER)
        sidecar.handle(inputs.AdapterLoadFailed(OTHER, "no such file"))
        sidecar.submit("r2", adapter_version=OTHER)
        expected = (ErrorKind.ADAPTER_LOAD_FAILED, RunState.NOT_RUN)
        self.assertEqual(rejections(sidecar), [expected] * 2)

    def test_fencing_token_is_one_above_the_reported_and_never_lowered(self):
        """Guards against commands that the engine rejects as outdated."""
        sidecar = SidecarDriver()
        sidecar.report("boot2", resident=(), token=0)
        sidecar.submit(adapter_version=OTHER)
        loads = sidecar.effects_of(effects.LoadAdapter)
        self.assertEqual({load.fencing_token for load in loads}, {5})

    def test_higher_token_in_a_report_stops_all_commands(self):
        """Guards against two incarnations that control the same engine."""
        sidecar = SidecarDriver()
        sidecar.report(token=9)
        self.assertTrue(sidecar.core.is_draining)
        sidecar.submit(adapter_version=OTHER)
        self.assertEqual(sidecar.effects_of(effects.LoadAdapter), [])


class PreemptionTests(unittest.TestCase):
    def test_preempted_stream_continues_without_a_gap(self):
        """Guards against lost or duplicate text after a preemption."""
        sidecar = SidecarDriver(batch_size=1)
        sidecar.submit("b1", rank=BATCH)
        first = sidecar.last_call()
        sidecar.start()
        sidecar.data("one ")
        sidecar.submit("i1")
        self.assertEqual(sidecar.cancelled(), [first.call])
        urgent = sidecar.last_call()
        sidecar.data("late", first)
        self.assertEqual(sidecar.core.late_events, 1)
        sidecar.start(urgent)
        sidecar.end(urgent)
        second = sidecar.last_call()
        self.assertEqual((second.generated, second.generated_tokens), ("one ", 1))
        self.assertNotEqual(second.call, first.call)
        sidecar.start()
        sidecar.data("two")
        sidecar.end()
        chunks = sidecar.sent(messages.Chunk)
        self.assertEqual(
            [(chunk.sequence, chunk.data) for chunk in chunks],
            [(0, b"one "), (1, b"two")],
        )
        self.assertEqual(sidecar.core.pins, 0)

    def test_unstreamed_response_continues_after_its_generated_text(self):
        """Guards against losing the text generated before a preemption."""
        sidecar = SidecarDriver(batch_size=1)
        sidecar.submit("b1", rank=BATCH, streamed=False)
        sidecar.start()
        sidecar.data("one ", data=b"")
        sidecar.submit("i1")
        sidecar.start()
        sidecar.end()
        call = sidecar.last_call()
        self.assertEqual((call.generated, call.generated_tokens), ("one ", 1))
        sidecar.start()
        sidecar.data("two", data=b"")
        sidecar.data("", data=b'{"text": "one two"}', tokens=0)
        sidecar.end()
        (chunk,) = sidecar.sent(messages.Chunk)
        self.assertEqual(chunk.data, b'{"text": "one two"}')

    def test_response_without_reported_text_restarts(self):
        """Guards against a response assembled from parts of two calls."""
        sidecar = SidecarDriver(batch_size=1)
        sidecar.submit("b1", rank=BATCH, streamed=False)
        sidecar.start()
        sidecar.data("", data=b'{"half', tokens=0)
        sidecar.submit("i1")
        sidecar.start()
        sidecar.end()
        self.assertEqual(sidecar.last_call().generated, "")
        sidecar.start()
        sidecar.data("", data=b'{"whole": 1}', tokens=0)
        sidecar.end()
        (chunk,) = sidecar.sent(messages.Chunk)
        self.assertEqual(chunk.data, b'{"whole": 1}')


class EngineFailureTests(unittest.TestCase):
    def test_unsent_call_is_retried_once_then_rejected_as_not_run(self):
        """Guards against rejecting a request that a retry would have served."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.fail(sent=False)
        self.assertEqual(len(sidecar.calls()), 2)
        sidecar.fail(sent=False)
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.BACKEND_FAILED, RunState.NOT_RUN)]
        )

    def test_interrupted_stream_is_continued_twice(self):
        """Guards against endless retries on a failing engine."""
        sidecar = SidecarDriver()
        sidecar.submit()
        for _ in range(3):
            sidecar.start()
            sidecar.data("x")
            sidecar.fail(sent=True)
        self.assertEqual([call.generated for call in sidecar.calls()], ["", "x", "xx"])
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.BACKEND_FAILED, RunState.UNKNOWN)]
        )
        self.assertEqual(sidecar.core.pins, 0)

    def test_stream_that_cannot_be_continued_is_broken_off(self):
        """Guards against a stream joined from two runs."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start(is_continuable=False)
        sidecar.data("", data=b"tool call")
        sidecar.fail(sent=True)
        self.assertEqual(len(sidecar.calls()), 1)
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.BACKEND_FAILED, RunState.UNKNOWN)]
        )
        self.assertEqual(sidecar.core.pins, 0)

    def test_preempted_stream_that_cannot_be_continued_is_broken_off(self):
        sidecar = SidecarDriver(batch_size=1)
        sidecar.submit("b1", rank=BATCH)
        sidecar.start(is_continuable=False)
        sidecar.data("", data=b"tool call")
        sidecar.submit("i1")
        self.assertEqual(sidecar.last_call().request_id, "i1")
        sidecar.start()
        sidecar.end()
        self.assertEqual([call.request_id for call in sidecar.calls()], ["b1", "i1"])
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.BACKEND_FAILED, RunState.UNKNOWN)]
        )

    def test_stream_without_data_is_run_again(self):
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start(is_continuable=False)
        sidecar.fail(sent=True)
        self.assertEqual(len(sidecar.calls()), 2)

    def test_error_of_the_call_that_continues_a_stream_is_marked(self):
        """Guards against an error's text that an entry takes for a part of a stream."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("x")
        sidecar.fail(sent=True)
        sidecar.start(model="", status=500)
        sidecar.data("", data=b"no", tokens=0)
        sidecar.end()
        chunks = sidecar.sent(messages.Chunk)
        self.assertEqual(
            [(chunk.status, chunk.data) for chunk in chunks],
            [(200, b"x"), (500, b"no")],
        )
        (end,) = sidecar.sent(messages.End)
        self.assertEqual(end.status, 500)

    def test_unsent_call_after_a_sent_one_is_not_reported_as_not_run(self):
        """Guards against reporting "not run" for a request that was partly executed."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.fail(sent=True)
        sidecar.fail(sent=False)
        sidecar.fail(sent=False)
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.BACKEND_FAILED, RunState.UNKNOWN)]
        )

    def test_restart_continues_idempotent_work_after_a_load(self):
        """Guards against calls that hang after a cold restart of the engine."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("x")
        sidecar.report("boot2", resident=())
        self.assertEqual(sidecar.core.pins, 0)
        self.assertEqual(len(sidecar.calls()), 1)
        sidecar.handle(inputs.AdapterLoaded(VERSION, "boot2"))
        self.assertEqual(sidecar.last_call().generated, "x")

    def test_data_before_the_status_is_never_forwarded(self):
        """Guards against forwarding data from an unverified adapter version."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.data("unchecked")
        self.assertEqual(sidecar.sent(messages.Chunk), [])
        self.assertEqual(len(sidecar.cancelled()), 1)


class OrderTests(unittest.TestCase):
    def setUp(self):
        self.sidecar = SidecarDriver(spec=SERVICE)

    def finish(self):
        self.sidecar.start()
        self.sidecar.data("done")
        self.sidecar.end()

    def test_repeat_after_the_end_receives_the_stored_response(self):
        """Guards against executing an order twice."""
        self.sidecar.order("o1")
        self.finish()
        self.sidecar.order("o2")
        self.assertEqual(len(self.sidecar.calls()), 1)
        first, second = self.sidecar.sent(messages.End)
        self.assertEqual((first.replayed, second.replayed), (False, True))
        self.assertEqual(first.digest, second.digest)

    def test_attempts_of_several_entries_wait_for_the_running_order(self):
        """Guards against executing an order again while it is running."""
        self.sidecar.connect(2, entry="e2")
        self.sidecar.order("o1")
        self.sidecar.order("o2")
        self.sidecar.order("o3", connection=2)
        self.finish()
        self.assertEqual(len(self.sidecar.calls()), 1)
        ends = self.sidecar.sent(messages.End)
        self.assertEqual([end.request_id for end in ends], ["o1", "o2", "o3"])
        self.assertEqual(len({end.digest for end in ends}), 1)

    def test_queued_order_runs_once_after_its_entry_died(self):
        """Guards against a lost or duplicate order when an entry fails."""
        for number in range(2):
            self.sidecar.submit(f"r{number}", adapter_version=None, rank=URGENT + 1)
        running = self.sidecar.calls()
        self.sidecar.order("o1")
        self.sidecar.handle(inputs.ConnectionClosed(1))
        self.sidecar.tick(after=2.0)
        self.assertEqual(self.sidecar.cancelled(), [call.call for call in running])
        self.assertEqual(self.sidecar.last_call().request_id, "o1")
        self.finish()
        self.sidecar.connect(2, entry="e2")
        self.sidecar.order("o2", connection=2)
        self.assertEqual(len(self.sidecar.calls()), 3)
        self.assertTrue(self.sidecar.sent(messages.End, connection=2)[0].replayed)

    def test_outcome_of_an_interrupted_order_stays_unknown(self):
        """Guards against executing an order again that may have run."""
        self.sidecar.order("o1")
        self.sidecar.fail(sent=True)
        self.sidecar.order("o2")
        expected = (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        self.assertEqual(rejections(self.sidecar), [expected] * 2)
        self.assertEqual(len(self.sidecar.calls()), 1)

    def test_order_rejected_as_not_run_may_be_repeated(self):
        """Guards against a key that is consumed by an order that never ran."""
        self.sidecar.order("o1", remaining=0)
        self.assertEqual(
            rejections(self.sidecar), [(ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)]
        )
        self.sidecar.order("o2")
        self.finish()
        self.assertEqual(len(self.sidecar.sent(messages.End)), 1)

    def test_invalid_tickets_are_rejected(self):
        """Guards against executing an order that another incarnation may have run."""
        cases = (
            (sign_ticket(incarnation=1), ErrorKind.KEY_EXPIRED, RunState.UNKNOWN),
            (sign_ticket(instance="s2"), ErrorKind.KEY_EXPIRED, RunState.UNKNOWN),
            (sign_ticket(caller="x"), ErrorKind.FORBIDDEN, RunState.NOT_RUN),
            (sign_ticket() + "x", ErrorKind.BAD_REQUEST, RunState.NOT_RUN),
            ("", ErrorKind.KEY_REQUIRED, RunState.NOT_RUN),
        )
        for number, (ticket, _, _) in enumerate(cases):
            self.sidecar.order(f"o{number}", ticket=ticket)
        self.assertEqual(rejections(self.sidecar), [case[1:] for case in cases])
        self.assertEqual(self.sidecar.calls(), [])


class ConnectionTests(unittest.TestCase):
    def test_resume_continues_without_gaps_on_a_new_connection(self):
        """Guards against losing chunks that were sent on a failed connection."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("one")
        sidecar.handle(inputs.ConnectionClosed(1))
        sidecar.data("two")
        sidecar.connect(2)
        sidecar.receive(messages.Resume("r1", 1, 1), connection=2)
        sidecar.data("three")
        sidecar.end()
        chunks = sidecar.sent(messages.Chunk, connection=2)
        self.assertEqual([chunk.data for chunk in chunks], [b"two", b"three"])
        (end,) = sidecar.sent(messages.End, connection=2)
        self.assertEqual(end.chunk_count, 3)

    def test_ended_response_can_be_resumed_for_a_while(self):
        """Guards against losing an End message with its connection."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("one")
        sidecar.end()
        sidecar.connect(2)
        sidecar.receive(messages.Resume("r1", 1, 0), connection=2)
        self.assertEqual(len(sidecar.sent(messages.Chunk, connection=2)), 1)
        self.assertEqual(len(sidecar.sent(messages.End, connection=2)), 1)
        sidecar.keep_alive(6.0, connection=2)
        sidecar.receive(messages.Resume("r1", 1, 0), connection=2)
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.INCOMPLETE_ANSWER, RunState.UNKNOWN)]
        )

    def test_resume_by_another_entry_incarnation_receives_nothing(self):
        """Guards against a response for a request id reused after an entry restart."""
        sidecar = SidecarDriver()
        sidecar.submit()
        sidecar.start()
        sidecar.data("secret")
        sidecar.connect(2, incarnation=2)
        sidecar.receive(messages.Resume("r1", 1, 0), connection=2)
        self.assertEqual(sidecar.sent(messages.Chunk, connection=2), [])

    def test_silent_connection_is_closed_and_its_work_cancelled_after_grace(self):
        """Guards against slots occupied on behalf of an entry that has failed."""
        sidecar = SidecarDriver()
        sidecar.submit()
        for _ in range(3):
            self.assertEqual(sidecar.effects_of(effects.Disconnect), [])
            sidecar.tick(after=0.5)
        self.assertEqual(sidecar.effects_of(effects.Disconnect)[0].connection, 1)
        sidecar.tick(after=1.9)
        self.assertEqual(sidecar.cancelled(), [])
        sidecar.tick(after=0.1)
        self.assertEqual(sidecar.cancelled(), [1])
        self.assertEqual((sidecar.core.pins, sidecar.core.in_flight), (0, 0))

    def test_pause_of_the_sidecar_does_not_time_out_its_peers(self):
        """Guards against closing every connection after a pause of the process."""
        sidecar = SidecarDriver()
        sidecar.tick()
        sidecar.tick(after=10.0)
        self.assertEqual(sidecar.effects_of(effects.Disconnect), [])
        sidecar.tick(after=0.5)
        self.assertEqual(len(sidecar.effects_of(effects.Disconnect)), 1)

    def test_heartbeats_carry_load_epoch_and_revision(self):
        """Guards against entries that route by outdated state."""
        sidecar = SidecarDriver(epoch=2.0)
        sidecar.submit()
        sidecar.keep_alive(2.0)
        heartbeats = sidecar.sent(messages.Heartbeat)
        self.assertEqual(
            [heartbeat.sequence for heartbeat in heartbeats], [1, 2, 3, 4, 5]
        )
        self.assertEqual((heartbeats[-1].revision, heartbeats[-1].draining), (1, False))
        self.assertEqual(heartbeats[-1].load.running, (0, 1, 0))
        sidecar.keep_alive(0.5)
        self.assertEqual(sidecar.sent(messages.Heartbeat)[-1].ticket_epoch, 1)


class DeadlineTests(unittest.TestCase):
    def test_overdue_call_of_an_order_is_cancelled_when_work_waits(self):
        """Guards against an unresponsive connection that blocks a healthy service."""
        sidecar = SidecarDriver(spec=SERVICE, batch_size=1)
        sidecar.order("o1", ticket=sign_ticket("1"), remaining=2_000)
        sidecar.keep_alive(3.5)
        self.assertEqual(sidecar.cancelled(), [])
        sidecar.order("o2", ticket=sign_ticket("2"), remaining=5_000)
        self.assertEqual(sidecar.cancelled(), [1])
        self.assertEqual(sidecar.last_call().request_id, "o2")
        expected = (ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN)
        self.assertEqual(rejections(sidecar), [expected])
        sidecar.order("o1 again", ticket=sign_ticket("1"))
        self.assertEqual(rejections(sidecar), [expected, expected])
        self.assertEqual(len(sidecar.calls()), 2)

    def test_expired_work_is_rejected_as_not_run(self):
        """Guards against dispatching expired requests after a pause of the process."""
        sidecar = SidecarDriver(batch_size=1)
        sidecar.submit("r1")
        sidecar.submit("r2", remaining=500)
        sidecar.start()
        sidecar.end(after=1.0)
        self.assertEqual(len(sidecar.calls()), 1)
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.DEADLINE_EXCEEDED, RunState.NOT_RUN)]
        )


class PauseTests(unittest.TestCase):
    def test_pause_does_not_count_as_service_time(self):
        """Guards against a queue that rejects work after a pause of the process."""
        sidecar = SidecarDriver(spec=SERVICE, batch_size=1)
        sidecar.order("o1", ticket=sign_ticket("1"))
        sidecar.start()
        sidecar.tick(after=30.0)
        sidecar.connect(2)
        sidecar.end()
        sidecar.order("o2", ticket=sign_ticket("2"), connection=2, remaining=5_000)
        sidecar.order("o3", ticket=sign_ticket("3"), connection=2, remaining=5_000)
        self.assertEqual(sidecar.sent(messages.Refused), [])


class UnreachableBackendTests(unittest.TestCase):
    def test_outage_does_not_count_as_service_time(self):
        """Guards against a queue that rejects work after an outage has ended."""
        sidecar = SidecarDriver(spec=SERVICE, batch_size=1)
        sidecar.order("o1", ticket=sign_ticket("1"))
        sidecar.start()
        sidecar.keep_alive(2.0)
        sidecar.handle(inputs.BackendUnreachable("timeout"))
        sidecar.keep_alive(2.0)
        sidecar.end()
        sidecar.order("o2", ticket=sign_ticket("2"), remaining=5_000)
        sidecar.order("o3", ticket=sign_ticket("3"), remaining=5_000)
        self.assertEqual(sidecar.sent(messages.Refused), [])

    def test_heartbeats_state_that_the_backend_server_is_unreachable(self):
        """Guards against routing to an empty queue whose backend server is down."""
        sidecar = SidecarDriver()
        sidecar.handle(inputs.BackendUnreachable("connection refused"))
        sidecar.keep_alive(0.5)
        self.assertTrue(sidecar.sent(messages.Heartbeat)[-1].unreachable)
        sidecar.report()
        sidecar.keep_alive(0.5)
        self.assertFalse(sidecar.sent(messages.Heartbeat)[-1].unreachable)


class DrainTests(unittest.TestCase):
    def test_drain_completes_running_work_and_rejects_new_work(self):
        """Guards against a planned stop that interrupts a request."""
        triggers = (
            inputs.DrainRequested(),
            inputs.InstancesListed(frozenset(), frozenset({"s1"})),
        )
        for trigger in triggers:
            with self.subTest(trigger=type(trigger).__name__):
                sidecar = SidecarDriver()
                sidecar.submit("r1")
                sidecar.handle(trigger)
                sidecar.submit("r2")
                expected = (ErrorKind.DRAINING, RunState.NOT_RUN)
                self.assertEqual(rejections(sidecar), [expected])
                self.assertEqual(sidecar.effects_of(effects.Stop), [])
                sidecar.start()
                sidecar.end()
                sidecar.keep_alive(1.5)
                self.assertEqual(sidecar.effects_of(effects.Stop), [])
                sidecar.keep_alive(0.5)
                self.assertEqual(len(sidecar.effects_of(effects.Stop)), 1)

    def test_drain_by_label_keeps_the_process_and_can_be_undone(self):
        """Guards against a sidecar that stops and restarts in a loop under a label."""
        sidecar = SidecarDriver()
        sidecar.submit("r1")
        labels = {"fighitch.dev/drain": "true"}
        label = inputs.ConfigurationReceived((backend_server(2, labels=labels),), 2, 1)
        sidecar.handle(label)
        sidecar.submit("r2")
        expected = (ErrorKind.DRAINING, RunState.NOT_RUN)
        self.assertEqual(rejections(sidecar), [expected])
        sidecar.start()
        sidecar.end()
        sidecar.keep_alive(5.0)
        self.assertTrue(sidecar.sent(messages.Heartbeat)[-1].draining)
        self.assertEqual(sidecar.effects_of(effects.Stop), [])
        sidecar.handle(inputs.ConfigurationReceived((backend_server(3),), 3, 2))
        sidecar.submit("r3")
        self.assertEqual(rejections(sidecar), [expected])
        sidecar.keep_alive(0.5)
        self.assertFalse(sidecar.sent(messages.Heartbeat)[-1].draining)

    def test_order_in_transit_when_the_drain_begins_is_executed(self):
        """Guards against a planned stop that rejects an order already sent."""
        sidecar = SidecarDriver(spec=SERVICE)
        sidecar.handle(inputs.DrainRequested())
        sidecar.order("o1")
        sidecar.start()
        sidecar.end()
        self.assertEqual(sidecar.sent(messages.End)[-1].run_state, RunState.RAN)
        sidecar.keep_alive(2.0)
        sidecar.order("o2", ticket=sign_ticket("other"))
        self.assertEqual(rejections(sidecar), [(ErrorKind.DRAINING, RunState.NOT_RUN)])

    def test_stored_outcome_is_returned_while_draining(self):
        """Guards against reporting "not run" for an order that was executed."""
        sidecar = SidecarDriver(spec=SERVICE)
        sidecar.submit("r1", adapter_version=None)
        sidecar.order("o1")
        sidecar.start()
        sidecar.end()
        sidecar.handle(inputs.DrainRequested())
        sidecar.order("o2")
        self.assertTrue(sidecar.sent(messages.End)[-1].replayed)
        self.assertEqual(sidecar.sent(messages.Refused), [])


class ConfigurationTests(unittest.TestCase):
    def test_new_policy_takes_effect_at_once(self):
        """Guards against decisions based on an outdated policy."""
        sidecar = SidecarDriver()
        spec = WorkPolicySpec(rank=INTERACTIVE, idempotent=False)
        sidecar.handle(inputs.ConfigurationReceived((policy(spec, 2),), 2, 1))
        sidecar.submit()
        self.assertEqual(
            rejections(sidecar), [(ErrorKind.KEY_REQUIRED, RunState.NOT_RUN)]
        )

    def test_sidecar_with_an_old_configuration_does_not_answer_not_found(self):
        """Guards against a permanent rejection of a version that was just created."""
        sidecar = SidecarDriver()
        sidecar.submit(adapter_version=messages.AdapterVersion("new", "1"))
        self.assertEqual(rejections(sidecar), [(ErrorKind.NOT_READY, RunState.NOT_RUN)])
