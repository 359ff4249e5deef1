"""Tests of ``fighitch.clients.object_api`` against a fake server."""

import json
import threading
import unittest

from werkzeug.wrappers import Response

from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.inputs import ClaimStatus
from fighitch.core.object_writes import WriteStatus
from fighitch.core.watch_events import Advanced, Changed, Expired, WatchEnded
from fighitch.tests.fake_http import (
    DROP_AFTER_WRITE,
    DROP_BEFORE_WRITE,
    FakeObjectApi,
    placement,
    status_response,
)


class ObjectApiTestCase(unittest.TestCase):
    def setUp(self):
        self.api = FakeObjectApi()
        self.addCleanup(self.api.close)
        self.client = ObjectApiClient(self.api.url)
        self.addCleanup(self.client.close)

    def stored(self, name="a"):
        return self.api.objects["Placement", name]

    def writes(self):
        return [item.method for item in self.api.requests if item.method != "GET"]


class WriteTests(ObjectApiTestCase):
    def test_create_replace_delete(self):
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CONFLICT)
        changed = {**self.stored(), "spec": {"maxReplicas": 3}}
        outcome = self.client.replace(changed)
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(outcome.document, self.stored())
        self.assertIs(self.client.replace(changed).status, WriteStatus.CONFLICT)
        old = self.client.delete("Placement", "a", revision=1)
        self.assertIs(old.status, WriteStatus.CONFLICT)
        gone = self.client.delete("Placement", "a")
        self.assertIs(gone.status, WriteStatus.DELETED)
        again = self.client.delete("Placement", "a")
        self.assertIs(again.status, WriteStatus.NOT_FOUND)

    def test_blind_replacement_is_refused(self):
        with self.assertRaises(ValueError):
            self.client.replace(placement("a"))

    def test_lost_answer_of_a_write_that_took_effect(self):
        """Guards against a second write, or a false conflict, after a lost answer."""
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.CREATED)
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.replace({**self.stored(), "spec": {}})
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.api.faults.append(DROP_AFTER_WRITE)
        outcome = self.client.delete("Placement", "a")
        self.assertIs(outcome.status, WriteStatus.DELETED)
        self.assertEqual(self.writes(), ["POST", "PUT", "DELETE"])

    def test_lost_call_is_repeated_once(self):
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertEqual(self.writes(), ["POST", "POST"])

    def test_write_that_arrives_late_is_recognised_at_the_repeat(self):
        """Guards against a false conflict with our own first attempt."""
        self.api.before_write = lambda: self.api.put(placement("a"))
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CREATED)
        self.assertEqual(self.writes(), ["POST", "POST"])

    def test_foreign_object_after_a_lost_answer_is_a_conflict(self):
        """Guards against claiming another operator's content as our own."""
        self.api.faults.append(DROP_AFTER_WRITE)
        self.api.after_write = lambda: self.api.put(placement("a", replicas=9))
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.CONFLICT)

    def test_unresolvable_answer_is_reported_as_unknown(self):
        """Guards against 'not done' for a write that may have taken effect."""
        self.api.faults.extend([DROP_AFTER_WRITE, 503])
        self.assertIs(self.client.create(placement("a")).status, WriteStatus.UNKNOWN)

    def test_refusal_for_load_is_unavailable(self):
        self.api.faults.append(429)
        outcome = self.client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.UNAVAILABLE)
        self.assertEqual(len(self.api.requests), 1)

    def test_unreachable_api_is_unavailable(self):
        client = ObjectApiClient("http://127.0.0.1:1")
        outcome = client.create(placement("a"))
        self.assertIs(outcome.status, WriteStatus.UNAVAILABLE)


class LabelTests(ObjectApiTestCase):
    def test_labels_are_set_and_removed(self):
        self.api.put(placement("a", labels={"tier": "gold", "old": "1"}))
        changes = {"tier": "silver", "old": None}
        outcome = self.client.change_labels("Placement", "a", changes)
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(self.stored()["metadata"]["labels"], {"tier": "silver"})
        again = self.client.change_labels("Placement", "a", changes)
        self.assertIs(again.status, WriteStatus.UNCHANGED)

    def change_in_between(self, **changed):
        self.api.put(placement("a"))

        def interfere():
            self.api.before_write = lambda: None
            self.api.put(placement("a", **changed))

        self.api.before_write = interfere
        return self.client.change_labels("Placement", "a", {"tier": "gold"})

    def test_other_change_in_between_is_kept(self):
        """Guards against a label change that undoes another operator's change."""
        outcome = self.change_in_between(replicas=9, labels={"spot": "yes"})
        self.assertIs(outcome.status, WriteStatus.REPLACED)
        self.assertEqual(self.stored()["spec"]["maxReplicas"], 9)
        labels = {"spot": "yes", "tier": "gold"}
        self.assertEqual(self.stored()["metadata"]["labels"], labels)

    def test_change_of_the_same_label_in_between_is_a_conflict(self):
        outcome = self.change_in_between(labels={"tier": "silver"})
        self.assertIs(outcome.status, WriteStatus.CONFLICT)
        self.assertEqual(self.stored()["metadata"]["labels"], {"tier": "silver"})


class ClaimTests(ObjectApiTestCase):
    def test_second_claim_gets_the_first_ticket(self):
        """Guards against two tickets, and so two runs, for one key."""
        created = self.client.create_claim("k", "t1")
        self.assertEqual(created.status, ClaimStatus.CREATED)
        self.assertIs(self.client.create_claim("k", "t2").status, ClaimStatus.EXISTS)
        found = self.client.read_claim("k")
        self.assertEqual((found.status, found.ticket), (ClaimStatus.EXISTS, "t1"))
        self.assertIs(self.client.read_claim("x").status, ClaimStatus.NOT_FOUND)

    def test_uncertain_answers_are_not_certain_with_one_call_each(self):
        """Guards against running an order whose claim nobody has confirmed."""
        for fault, status in (
            (DROP_AFTER_WRITE, ClaimStatus.ANSWER_LOST),
            (DROP_BEFORE_WRITE, ClaimStatus.ANSWER_LOST),
            (500, ClaimStatus.ANSWER_LOST),
            (429, ClaimStatus.UNAVAILABLE),
        ):
            with self.subTest(fault):
                self.api.faults.append(fault)
                self.api.requests.clear()
                answer = self.client.create_claim(f"k-{fault}", "t")
                self.assertIs(answer.status, status)
                self.assertEqual(len(self.api.requests), 1)
        self.api.faults.append(DROP_BEFORE_WRITE)
        self.assertIs(self.client.read_claim("k").status, ClaimStatus.UNAVAILABLE)


class ResourcesTests(ObjectApiTestCase):
    def test_unreadable_object_does_not_hide_the_others(self):
        """Guards against one bad object that leaves a process unconfigured."""
        self.api.put(placement("a"))
        self.api.put({**placement("b"), "spec": {"surprise": 1}})
        self.client.create_claim("k", "t")
        listed = self.client.resources().ok
        self.assertEqual([item.name for item in listed.resources], ["a"])
        self.assertEqual(listed.revision, 3)
        self.assertIn("surprise", listed.rejected[0])


class WatchTests(ObjectApiTestCase):
    def event(self, event_type, revision, **changed):
        document = {**placement("a", resourceVersion=str(revision)), **changed}
        return json.dumps({"type": event_type, "object": document})

    def test_events_in_order(self):
        self.api.watch_lines = [
            self.event("ADDED", 5),
            self.event("MODIFIED", 6, spec={"surprise": 1}),
            self.event("ADDED", 7, kind="Claim"),
            self.event("BOOKMARK", 8),
            self.event("DELETED", 9),
        ]
        events = list(self.client.watch(4))
        kinds = [Changed, Advanced, Advanced, Advanced, Changed, WatchEnded]
        self.assertEqual([type(event) for event in events], kinds)
        self.assertEqual([event.revision for event in events[:-1]], [5, 6, 7, 8, 9])
        self.assertTrue(events[4].resource.is_deleted)
        args = self.api.requests[0].args
        self.assertEqual(args["resourceVersion"], "4")
        self.assertEqual(args["allowWatchBookmarks"], "true")

    def test_expired_revision_in_both_forms(self):
        """Guards against a watcher that keeps asking for a compacted revision."""
        status = {"kind": "Status", "code": 410, "reason": "Expired"}
        self.api.watch_lines = [json.dumps({"type": "ERROR", "object": status})]
        self.assertEqual(list(self.client.watch(1)), [Expired()])
        self.api.watch_lines = status_response(410, "Expired")
        self.assertEqual(list(self.client.watch(1)), [Expired()])

    def test_silent_stream_ends(self):
        """Guards against a watcher stuck on a connection that went silent."""
        release = threading.Event()
        self.addCleanup(release.set)

        def stream():
            yield self.event("ADDED", 5) + "\n"
            release.wait()

        self.api.watch_lines = Response(stream())
        events = list(self.client.watch(4, silence=0.2))
        self.assertEqual([type(event) for event in events], [Changed, WatchEnded])
        self.assertIn("no data", events[1].detail)

    def test_reader_can_stop(self):
        self.assertEqual(list(self.client.watch(4, should_stop=lambda: True)), [])
