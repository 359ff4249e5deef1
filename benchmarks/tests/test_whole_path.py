"""End-to-end tests: one request of each kind through real processes."""

import json
import unittest
from concurrent.futures import ThreadPoolExecutor

from benchmarks import sample
from benchmarks.callers import Caller
from benchmarks.deployment import Deployment, fetch


class WholePathTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        plan = sample.plan()
        cls.deployment = Deployment(plan)
        cls.deployment.start()
        cls.addClassCleanup(cls.deployment.stop)
        cls.applied = cls.deployment.apply(
            [*sample.common_documents(plan), *cls.deployment.backend_documents()]
        )
        cls.deployment.wait_ready()
        cls.urls = [cls.deployment.caller_url(name) for name in cls.deployment.entries]
        cls.caller = Caller(sample.CALLER_KEY)

    def test_configuration_is_accepted_once_entries_confirm_it(self):
        self.assertIn("accepted", self.applied)

    def test_streamed_and_whole_responses_have_the_same_text(self):
        """Guards against lost or duplicated text on the streamed or the whole path."""
        body = {"model": "advisor-1@v2", "prompt": "p", "max_tokens": 30}
        streamed = self.caller.call(
            self.urls[0], "/v1/completions", {**body, "stream": True}
        )
        whole = self.caller.call(self.urls[1], "/v1/completions", body)
        self.assertEqual(streamed.headers["x-model"], "advisor-1@v2")
        self.assertEqual(whole.headers["x-model"], "advisor-1@v2")
        self.assertEqual(streamed.text(), whole.text())
        self.assertEqual(whole.json()["usage"]["completion_tokens"], 30)

    def test_every_version_is_served_by_itself_with_fewer_slots_than_versions(self):
        """Guards against a response by another version when slots are scarce."""
        models = [
            f"advisor-{n}@{version}" for n in range(1, 7) for version in ("v1", "v2")
        ]

        def ask(model):
            body = {"model": model, "prompt": "p", "max_tokens": 8}
            return self.caller.call(self.urls[0], "/v1/completions", body)

        with ThreadPoolExecutor(len(models)) as pool:
            replies = list(pool.map(ask, models))
        self.assertEqual([reply.status for reply in replies], [200] * len(models))
        self.assertEqual([reply.json()["model"] for reply in replies], models)
        engines = [f"engine-{n}-backend" for n in (1, 2)]
        unloads = [
            self.deployment.control(name)["counters"]["unloads_in_use"]
            for name in engines
        ]
        self.assertEqual(unloads, [0, 0])

    def test_request_rejected_by_the_engine_keeps_its_status(self):
        """Guards against an engine error that is reported as a broken stream."""
        body = {"model": "advisor-1", "prompt": "p", "max_tokens": -1, "stream": True}
        reply = self.caller.call(self.urls[0], "/v1/completions", body)
        self.assertEqual((reply.status, reply.is_whole), (400, True))

    def test_concurrent_orders_through_both_entries_run_once(self):
        """Guards against a repeat that runs concurrently with the first request."""
        self.deployment.set_fault("orders-1-backend", run_seconds=0.3)
        self.addCleanup(self.deployment.set_fault, "orders-1-backend", run_seconds=0.0)
        for key in (self.caller.issue_key(self.urls[0], service="orders"), "own-key"):
            headers = {"Idempotency-Key": key}

            def send(url, headers=headers):
                return self.caller.call(
                    url, "/services/orders/o", {"n": 1}, headers=headers
                )

            with ThreadPoolExecutor(4) as pool:
                replies = list(pool.map(send, self.urls * 2))
            self.assertEqual([reply.status for reply in replies], [200] * 4)
            self.assertEqual(len({reply.body for reply in replies}), 1)
        port = self.deployment.ports["orders-1-backend/port"]
        runs = json.loads(fetch(f"http://127.0.0.1:{port}/runs")[1])
        self.assertEqual(set(runs.values()), {1})

    def test_same_key_with_another_body_is_an_error(self):
        """Guards against an order that gets the response of a different order."""
        headers = {"Idempotency-Key": "key-with-two-bodies"}
        path = "/services/orders/o"
        self.caller.call(self.urls[0], path, {"n": 1}, headers=headers)
        reply = self.caller.call(self.urls[1], path, {"n": 2}, headers=headers)
        self.assertEqual(reply.error_kind, "key_reused")

    def test_order_without_a_key_is_rejected_as_not_run(self):
        reply = self.caller.call(self.urls[0], "/services/orders/o", {"n": 1})
        self.assertEqual(
            (reply.error_kind, reply.run_state), ("key_required", "not_run")
        )

    def test_explain_lists_the_events_of_a_request(self):
        body = {"model": "advisor-2", "prompt": "p", "max_tokens": 2}
        reply = self.caller.call(self.urls[0], "/v1/completions", body)
        explained = self.deployment.client("explain", reply.headers["x-request-id"])
        for event in ("request_accepted", "request_routed", "dispatched", "answered"):
            self.assertIn(event, explained.stdout)
        metrics = fetch(f"{self.deployment.admin_url('entry-1')}/metrics")[1]
        self.assertIn(b"fighitch_requests_total", metrics)
