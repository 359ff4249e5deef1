"""Keys of client accounts at an entry: headers, ranks, contact with the store."""

import json
import signal
import socket
import threading
import time
import unittest
from dataclasses import replace
from http.client import HTTPConnection
from unittest import mock

import msgspec

from fighitch.core.gateway.accounts import Account, AccountTable, Quota
from fighitch.core.gateway.failures import FailureKind
from fighitch.core.gateway.model import (
    Configuration,
    Route,
    WeightedService,
    WorkKind,
)
from fighitch.core.gateway.settings import Address
from fighitch.gateway import entry as entry_module, store_watch, store_watches
from fighitch.gateway.admission_requests import build_admission_request
from fighitch.gateway.entry import GatewayEntry
from fighitch.gateway.metrics import EntryMetrics
from fighitch.gateway.process import METRICS_PORT
from fighitch.gateway.request_keys import RequestKeys
from fighitch.gateway.store_watch import (
    KindWatcher,
    UnreadableObjectError,
    WatchOptions,
)
from fighitch.observability.logs import format_event
from fighitch.platform.configuration import CONFIGURATION_KIND, CONFIGURATION_NAME
from fighitch.platform.requests import decode_request, encode_request
from fighitch.platform.store import StoredObject
from fighitch.runtime.header_fields import HeaderFields
from fighitch.runtime.http_callers import CallerRequest
from fighitch.tests.test_gateway_entry import SETTINGS
from standins.platform_fleet import (
    HOST,
    CallerResponse,
    PlatformFleet,
    send_on_connection,
    wait_until,
)

KEY = "secret-key-1"
SECOND_KEY = "secret-key-2"
BOUND = 5.0
ACCOUNT = Account("small", frozenset((KEY, SECOND_KEY)), rank=0)
UNRANKED = Account("plain", frozenset(("other",)))
ROUTE = Route(
    name="r",
    host="h",
    path_prefix="/p/",
    kind=WorkKind.IDEMPOTENT,
    timeout=4.0,
    target_latency=1.0,
    rank=3,
    services=(WeightedService("orders", 1.0),),
)
OPEN_ROUTE = replace(ROUTE, name="open", path_prefix="/o/", allows_anonymous=True)
CONFIGURATION = Configuration(
    1, (ROUTE, OPEN_ROUTE), {}, accounts=AccountTable((ACCOUNT, UNRANKED))
)


def request(*headers: tuple[bytes, bytes], target: bytes = b"/p/") -> CallerRequest:
    items = HeaderFields([(b"Host", b"h"), (b"Attempt-Id", b"x"), *headers])
    return CallerRequest(b"GET", target, items, b"", 0.0)


def with_key(key: str = KEY) -> tuple[bytes, bytes]:
    return b"Authorization", b"Token " + key.encode()


class HeaderTests(unittest.TestCase):
    """Headers that a backend server receives."""

    def forwarded(
        self, *headers: tuple[bytes, bytes], account: str | None
    ) -> list[bytes]:
        data = encode_request(
            request(*headers), time_left=1.0, instance_id="i", account=account
        )
        names = (b"authorization", b"tenant")
        lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
        return [line for line in lines if line.lower().startswith(names)]

    def test_key_is_not_forwarded_and_the_name_is_that_of_the_account(self):
        # Guards against keys at servers and against names that clients choose.
        headers = (
            with_key(),
            (b"authorization", b"Token x"),
            (b"TENANT", b"large"),
            (b"tenant", b"large"),
        )
        for more in ((), ((b"Connection", b"Authorization, tenant"),)):
            sent = self.forwarded(*headers, *more, account="small")
            self.assertEqual(sent, [b"Tenant: small"])

    def test_anonymous_request_gets_no_name(self):
        sent = self.forwarded(with_key(), (b"Tenant", b"large"), account="")
        self.assertEqual(sent, [])

    def test_without_accounts_both_headers_are_forwarded(self):
        headers = ((b"Authorization", b"Basic x"), (b"Tenant", b"large"))
        sent = self.forwarded(*headers, account=None)
        self.assertEqual(sent, [b"Authorization: Basic x", b"Tenant: large"])

    def test_name_can_not_end_its_header(self):
        # Guards against a configured name that adds headers to requests.
        sent = self.forwarded(account="a\r\nHold: 1\ud800")
        self.assertEqual(sent, [b"Tenant: a??Hold: 1?"])

    def test_key_of_several_or_other_credentials_is_ignored(self):
        for headers in (
            (with_key(), with_key()),
            (with_key(), (b"authorization", b"Basic x")),
            ((b"Authorization", b"Bearer " + KEY.encode()),),
            ((b"Authorization", KEY.encode()),),
            ((b"Authorization", b"Token"),),
            ((b"Authorization", b"Token  "),),
        ):
            self.assertIsNone(decode_request(request(*headers)).key, headers)
        for name, scheme in (
            (b"AUTHORIZATION", b"token"),
            (b"authorization", b"Token"),
        ):
            header = (name, scheme + b" " + KEY.encode())
            self.assertEqual(decode_request(request(header)).key, KEY)

    def test_key_may_have_any_letters(self):
        # Guards against a 401 for a configured key. Clients use either encoding.
        for encoding in ("utf-8", "latin-1"):
            header = (b"Authorization", "Token clé".encode(encoding))
            self.assertEqual(decode_request(request(header)).key, "clé", encoding)

    def test_key_is_in_no_representation(self):
        # Errors are logged with the representations of what caused them.
        for item in (
            request(with_key()),
            decode_request(request(with_key())),
            CONFIGURATION,
            ACCOUNT,
        ):
            self.assertNotIn(KEY, repr(item))


class RequestKeysTests(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        loop = mock.Mock()
        loop.now.side_effect = lambda: self.now
        self.log = mock.Mock()
        self.metrics = EntryMetrics()
        self.keys = RequestKeys(loop, self.log, self.metrics, revoke_within=BOUND)
        self.keys.configure(CONFIGURATION)
        self.keys.record_contact(self.now)

    def check(self, *headers, route=ROUTE, is_current=True):
        metadata = decode_request(request(*headers))
        return self.keys.check(metadata, route, is_current=is_current)

    def gauge(self) -> float | None:
        return self.metrics.registry.get_sample_value("fighitch_refuses_keys")

    def test_account_and_its_rank_replace_those_of_the_request(self):
        metadata, route = self.check(with_key())
        self.assertEqual((metadata.account, route.rank), ("small", 0))
        self.assertEqual(replace(route, rank=3), ROUTE)
        self.assertIs(self.check(with_key(SECOND_KEY))[1], route)

    def test_weight_of_the_account_reaches_the_agent(self):
        # Guards against quotas that state shares which no engine applies.
        quota = Quota(rate=30.0, burst=30.0)
        accounts = (
            replace(ACCOUNT, quota=quota),
            replace(UNRANKED, quota=replace(quota, rate=10.0)),
        )
        table = AccountTable(accounts)
        self.keys.configure(replace(CONFIGURATION, accounts=table))
        metadata, route = self.check(with_key())
        message = build_admission_request(
            metadata,
            route,
            arrived=0.0,
            waiting_since=0.0,
            deadline=9.0,
            now=0.0,
            version=0,
            may_decline=False,
        )
        self.assertEqual((message.account, message.weight), ("small", 1.5))

    def test_agents_get_a_bounded_part_of_a_long_id(self):
        # Guards against ids of some kB in the queues and messages of agents.
        metadata, route = self.check(with_key())
        metadata = replace(metadata, request_id="i" * 10_000)
        message = build_admission_request(
            metadata,
            route,
            arrived=0.0,
            waiting_since=0.0,
            deadline=9.0,
            now=0.0,
            version=0,
            may_decline=False,
        )
        self.assertLess(len(message.request_id), 1_000)

    def test_account_without_a_rank_has_that_of_the_route(self):
        metadata, route = self.check(with_key("other"))
        self.assertEqual((metadata.account, route), ("plain", ROUTE))

    def test_changed_route_or_rank_is_used_at_once(self):
        # Guards against a cached route of an earlier configuration.
        self.check(with_key())
        changed = replace(ROUTE, timeout=9.0)
        for rank in (0, 2):
            table = AccountTable((replace(ACCOUNT, rank=rank),))
            self.keys.configure(Configuration(2, (changed,), {}, accounts=table))
            route = self.check(with_key(), route=changed)[1]
            self.assertEqual((route.rank, route.timeout), (rank, 9.0))

    def test_anonymous_request_has_no_account_and_hides_its_headers(self):
        for headers in ((), (with_key("unknown"),)):
            metadata, route = self.check(*headers, route=OPEN_ROUTE)
            self.assertEqual((metadata.forwarded_account, route), ("", OPEN_ROUTE))

    def test_known_key_on_an_anonymous_route_names_its_account(self):
        metadata, _ = self.check(with_key(), route=OPEN_ROUTE)
        self.assertEqual(metadata.forwarded_account, "small")

    def test_without_accounts_the_request_is_unchanged(self):
        self.keys.configure(replace(CONFIGURATION, accounts=None))
        self.now += 2 * BOUND
        metadata, route = self.check(with_key())
        self.assertIsNone(metadata.forwarded_account)
        self.assertIs(route, ROUTE)
        self.keys.update_state()
        self.assertEqual(self.gauge(), 0.0)
        self.assertFalse(self.keys.refuses_all)

    def test_rejections_name_their_reason(self):
        self.assertIs(self.check(), FailureKind.UNAUTHENTICATED)
        kind = self.check(is_current=False)
        self.assertIs(kind, FailureKind.KEYS_NOT_CURRENT)

    def test_refusal_is_logged_and_counted_once_for_each_change(self):
        for now, gauge in ((100.1, 0.0), (106.0, 1.0), (107.0, 1.0)):
            self.now = now
            self.keys.update_state()
            self.assertEqual(self.gauge(), gauge)
        self.keys.record_contact(107.0)
        self.assertEqual(self.gauge(), 0.0)
        names = [call.args[0] for call in self.log.event.call_args_list]
        self.assertEqual(names, ["keys_refused", "keys_accepted"])

    def test_first_refused_request_is_explained_at_once(self):
        # Guards against refusals that neither the log nor the gauge tells of.
        self.now += 2 * BOUND
        self.assertIs(self.check(with_key()), FailureKind.KEYS_NOT_CURRENT)
        self.assertEqual(self.gauge(), 1.0)
        self.log.event.assert_called_once()

    def test_entry_is_ready_without_contact_if_it_can_serve_something(self):
        self.now += 2 * BOUND
        self.assertFalse(self.keys.refuses_all)
        self.keys.configure(replace(CONFIGURATION, routes=(ROUTE,)))
        self.assertTrue(self.keys.refuses_all)
        self.keys.record_contact(self.now)
        self.assertFalse(self.keys.refuses_all)


def configuration_object(*tenants: dict, version: int = 1) -> StoredObject:
    spec = {
        "Version": version,
        "Routes": [
            {
                "Name": "r",
                "Host": "h",
                "PathPrefix": "/p/",
                "Kind": "idempotent",
                "TimeoutMs": 4_000,
                "Service": "orders",
            }
        ],
        "Services": [],
        "Tenants": list(tenants),
    }
    content = msgspec.Raw(json.dumps(spec).encode())
    return StoredObject(CONFIGURATION_NAME, version, content)


class EntryTests(unittest.TestCase):
    """Requests at an entry before any of them is placed."""

    def setUp(self):
        self.watcher = mock.patch.object(store_watches, "KindWatcher").start()
        listener = mock.patch.object(entry_module, "listen").start()
        listener.return_value = None
        self.addCleanup(mock.patch.stopall)
        self.now = 100.0
        self.loop = mock.Mock()
        self.loop.now.side_effect = lambda: self.now
        self.log_lines: list[str] = []
        log = mock.Mock()
        log.event.side_effect = lambda name, **fields: self.log_lines.append(
            format_event(name, fields.items())
        )
        self.metrics = EntryMetrics()
        self.entry = GatewayEntry(
            self.loop, replace(SETTINGS, revoke_within=BOUND), log, self.metrics
        )
        self.entry.start()
        options = self.watch_arguments()
        self.on_change = options.kwargs["on_change"]
        self.on_read = options.kwargs["on_read"]

    def watch_arguments(self):
        calls = reversed(self.watcher.call_args_list)
        return next(call for call in calls if call.args[2].kind == CONFIGURATION_KIND)

    def configure(self, *keys: str, version: int = 1) -> None:
        tenant = {"Name": "small", "ApiKeys": list(keys)}
        self.on_change(configuration_object(tenant, version=version))
        self.on_read(self.now)

    def send(self, *headers: tuple[bytes, bytes]) -> tuple[int, dict[bytes, bytes]]:
        """Sends a request; an accepted one finds no server and gets 503."""
        caller = mock.Mock(is_backlogged=False)
        item = replace(request(*headers), received_at=self.now)
        self.entry._on_request(caller, item)
        status, head = caller.send_head.call_args.args
        return status, dict(head)

    def outcome(self, *headers: tuple[bytes, bytes]) -> str:
        self.send(*headers)
        return self.log_lines[-1].partition("outcome=")[2].partition(" ")[0]

    def test_entry_without_a_configuration_gives_no_401(self):
        self.assertEqual(self.send(with_key())[0], 503)

    def test_401_names_the_scheme(self):
        self.configure(KEY)
        status, headers = self.send()
        self.assertEqual(status, 401)
        self.assertEqual(headers[b"WWW-Authenticate"], b"Token")
        self.assertNotIn(b"Retry-After", headers)

    def test_accepted_request_is_placed(self):
        self.configure(KEY)
        self.assertEqual(self.outcome(with_key()), "no_server")

    def test_rejected_request_takes_no_part_of_the_retry_budget(self):
        # Guards against placing, or counting, what is cheap to reject.
        self.configure(KEY)
        with mock.patch.object(entry_module, "Relay") as relay:
            self.outcome(with_key("unknown"))
        relay.assert_not_called()
        self.assertFalse(self.entry._retry_budgets)

    def test_key_of_a_newer_version_is_accepted_and_a_removed_one_is_not(self):
        self.configure(KEY)
        self.configure(SECOND_KEY, version=2)
        self.assertEqual(self.outcome(with_key()), "unauthenticated")
        self.assertEqual(self.outcome(with_key(SECOND_KEY)), "no_server")

    def test_older_version_of_a_restored_store_brings_no_key_back(self):
        self.configure(SECOND_KEY, version=2)
        self.configure(KEY, version=1)
        self.assertEqual(self.outcome(with_key()), "unauthenticated")

    def test_unknown_key_gets_503_if_the_copy_is_not_current(self):
        self.configure(KEY)
        watcher = self.entry._watches._watchers[CONFIGURATION_KIND]
        watcher.is_current.return_value = False
        self.assertEqual(self.outcome(with_key("new")), "keys_not_current")

    def test_key_is_judged_by_the_present_time(self):
        # Guards against times of the connection or of the request's first byte.
        self.configure(KEY)
        self.now += BOUND
        status, headers = self.send(with_key())
        self.assertEqual(status, 503)
        self.assertIn(b"Retry-After", headers)

    def test_reloaded_settings_keep_the_contact(self):
        # Guards against refusals because the watchers were replaced.
        self.configure(KEY)
        self.entry.reload(replace(SETTINGS, revoke_within=2 * BOUND))
        self.assertEqual(self.outcome(with_key()), "no_server")

    def test_watches_of_the_configuration_are_short_enough_for_the_bound(self):
        # The age of contact reaches two waits before the second watch ends.
        for bound in (BOUND, 1.0):
            self.entry.reload(replace(SETTINGS, revoke_within=bound))
            self.assertLess(2 * self.watch_arguments().args[2].wait, 0.6 * bound)

    def test_unreadable_configuration_is_reported_to_the_watcher(self):
        # Its removal of a key would not be in force although contact goes on.
        self.configure(KEY)
        item = StoredObject(CONFIGURATION_NAME, 2, msgspec.Raw(b'{"Version": 2}'))
        with self.assertRaises(UnreadableObjectError):
            self.on_change(item)
        self.assertIn("configuration_unreadable", self.log_lines[-1])

    def test_keys_are_in_no_log_line_and_in_no_metric(self):
        self.configure(KEY)
        self.send(with_key())
        self.send(with_key(SECOND_KEY))
        self.now += BOUND
        self.send(with_key())
        self.entry._record_invalid_request(431, request(with_key()))
        with mock.patch.object(entry_module, "choose_service", side_effect=KeyError):
            self.now -= BOUND
            self.send(with_key())
        item = StoredObject(
            CONFIGURATION_NAME,
            3,
            msgspec.Raw(b'{"Tenants": [{"ApiKeys": "%b"}]}' % KEY.encode()),
        )
        with self.assertRaises(UnreadableObjectError):
            self.on_change(item)
        text = "\n".join(self.log_lines) + self.metrics.render().decode()
        self.assertIn("request_error", text)
        self.assertNotIn(KEY, text)
        self.assertNotIn(SECOND_KEY, text)


EMPTY_LIST = b'{"items": [], "HasMore": false, "At": 5}'
NO_EVENTS = b'{"events": [], "At": 5}'


def event(name: str, revision: int) -> bytes:
    metadata = {"Name": name, "Revision": revision}
    item = {"Object": {"Metadata": metadata, "Spec": {}}}
    return json.dumps({"events": [item], "At": revision}).encode()


class ContactTimeTests(unittest.TestCase):
    """Times at which a watcher's successful calls were sent."""

    WAIT = 1.0

    def setUp(self):
        self.now = 0.0
        self.loop = mock.Mock()
        self.loop.now.side_effect = lambda: self.now
        client = mock.patch.object(store_watch, "SerialClient").start()
        self.addCleanup(mock.patch.stopall)
        client.return_value.address = Address("10.0.0.1", 80)
        self.client = client.return_value
        self.contacts: list[float] = []
        self.unreadable: set[str] = set()
        self.watcher = KindWatcher(
            self.loop,
            Address("10.0.0.1", 80),
            WatchOptions(CONFIGURATION_KIND, wait=self.WAIT),
            mock.Mock(),
            on_change=self.handle,
            on_read=self.contacts.append,
        )
        self.watcher.start()

    def handle(self, item: StoredObject) -> None:
        if item.name in self.unreadable:
            raise UnreadableObjectError

    def respond(self, body: bytes, *, after: float = 0.0, status: int = 200) -> None:
        self.now += after
        self.client.call.call_args.args[1](status, body)

    def next_call(self) -> None:
        self.loop.call_later.call_args.args[1]()

    def reuses_connection(self) -> bool:
        return self.client.call.call_args.kwargs["reuse_connection"]

    def test_contact_is_the_time_of_sending(self):
        self.respond(EMPTY_LIST, after=0.3)
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.assertEqual(self.contacts, [0.0, 0.3])

    def test_call_without_a_readable_response_is_no_contact(self):
        self.respond(b"{}", after=0.1)
        self.next_call()
        self.respond(b"", after=0.1, status=503)
        self.next_call()
        self.respond(b"", after=0.1, status=0)
        self.assertEqual(self.contacts, [])
        self.next_call()
        self.respond(EMPTY_LIST)
        self.next_call()
        self.respond(b"", status=410)
        self.respond(b"[", status=200)
        self.assertEqual(len(self.contacts), 1)

    def test_list_of_several_pages_counts_from_its_first_call(self):
        item = {"Metadata": {"Name": "a", "Revision": 1}, "Spec": {}}
        page = {"items": [item], "HasMore": True, "At": 5}
        self.respond(json.dumps(page).encode(), after=0.5)
        self.respond(EMPTY_LIST, after=0.5)
        self.assertEqual(self.contacts, [0.0])

    def test_unreadable_object_is_no_contact_until_a_list_is_read(self):
        # Guards against a removed key that stays in force as its removal is unreadable.
        self.unreadable = {"main"}
        self.respond(EMPTY_LIST)
        self.next_call()
        self.respond(event("main", 6))
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.assertEqual(self.contacts, [0.0])
        self.unreadable = set()
        self.next_call()
        self.respond(event("main", 7))
        self.next_call()
        self.respond(EMPTY_LIST)
        self.assertEqual(self.contacts, [0.0, self.WAIT])

    def test_item_without_a_name_is_no_contact(self):
        self.respond(b'{"items": [{}], "HasMore": false, "At": 5}')
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.assertEqual(self.contacts, [])

    def test_response_that_is_read_late_does_not_make_the_copy_current(self):
        # Guards against a 401 for a key that was added while the process stood still:
        # the response to its last watch was sent before.
        self.respond(EMPTY_LIST)
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.assertTrue(self.watcher.is_current(self.now))
        self.next_call()
        self.respond(NO_EVENTS, after=10.0)
        self.assertFalse(self.watcher.is_current(self.now))
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.assertTrue(self.watcher.is_current(self.now))

    def test_copy_stays_current_at_a_slow_store(self):
        # Guards against 503 instead of 401 in calm.
        self.respond(EMPTY_LIST, after=0.3)
        for _ in range(3):
            self.next_call()
            self.respond(NO_EVENTS, after=self.WAIT + 0.3)
            self.assertTrue(self.watcher.is_current(self.now + self.WAIT + 0.3))

    def test_second_copy_of_a_response_is_no_contact(self):
        # Guards against a response to an earlier call, which tells of an earlier time.
        self.respond(EMPTY_LIST)
        self.next_call()
        self.respond(NO_EVENTS, after=self.WAIT)
        self.next_call()
        self.respond(NO_EVENTS)
        self.assertEqual(self.contacts, [0.0, 0.0])
        self.next_call()
        self.assertFalse(self.reuses_connection())

    def test_store_that_ends_watches_early_gives_contact(self):
        # Guards against refused keys at a store that shortens the waits of watches.
        self.respond(EMPTY_LIST)
        for _ in range(6):
            self.next_call()
            self.respond(NO_EVENTS, after=0.1)
        self.assertGreaterEqual(max(self.contacts), 0.3)


TENANTS = [
    {"Name": "small", "ApiKeys": [KEY, SECOND_KEY], "Priority": 0},
    {"Name": "large", "ApiKeys": ["large-key"]},
]
OPEN = {"Kind": "idempotent", "Service": "orders", "AllowAnonymous": True}
# Seconds; no machine stands still for so long that keys are refused.
LONG_BOUND = 60.0
SHORT_BOUND = 2.0


class ProcessTestCase(unittest.TestCase):
    bound = LONG_BOUND

    def setUp(self):
        self.fleet = PlatformFleet(
            engines=0,
            entries=1,
            bounds={"RevokeFailClosed": True, "RevokeMs": self.bound * 1_000},
        )
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.sent = 0
        self.put_tenants(TENANTS)
        self.assertTrue(wait_until(lambda: self.send().status == 401))

    def put_tenants(self, tenants: list[dict]) -> None:
        self.fleet.tenants = tenants
        self.fleet.put_configuration(open=OPEN)

    def send(self, key: str = "", route: str = "lookup", **headers) -> CallerResponse:
        self.sent += 1
        if key:
            headers["Authorization"] = f"Token {key}"
        return self.fleet.send_request(route, f"r{self.sent}", **headers)

    def run_headers(self) -> dict[str, str]:
        """Returns the headers of the latest request as its server received them."""
        runs = [run for server in self.fleet.plain_servers for run in server.runs]
        return next(run for run in runs if run.request_id == f"r{self.sent}").headers

    def run_count(self) -> int:
        return sum(len(server.runs) for server in self.fleet.plain_servers)

    def metrics(self) -> str:
        host = self.fleet.entries[0].settings["Ip"]
        connection = HTTPConnection(host, METRICS_PORT, timeout=5)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()


class ProcessTests(ProcessTestCase):
    """Requests through an entry's process that is in contact with the store."""

    def test_servers_see_the_account_and_no_key(self):
        for key in (KEY, SECOND_KEY):
            response = self.send(
                key, Tenant="large", Connection="Authorization, Tenant"
            )
            self.assertEqual(response.status, 200)
            headers = self.run_headers()
            self.assertEqual(headers["tenant"], "small")
            self.assertNotIn("authorization", headers)
        response = self.send("unknown", route="open", Tenant="large")
        self.assertEqual(response.status, 200)
        self.assertFalse({"tenant", "authorization"} & set(self.run_headers()))

    def test_requests_without_a_known_key_do_not_run(self):
        count = self.run_count()
        for response in (
            self.send(),
            self.send("unknown"),
            self.send(Authorization=f"Bearer {KEY}"),
            self.send(Authorization=KEY),
        ):
            self.assertEqual(response.status, 401)
            self.assertEqual(response.headers["www-authenticate"], "Token")
        self.assertEqual(self.send_twice_named(), b"401")
        self.assertEqual(self.run_count(), count)

    def send_twice_named(self) -> bytes:
        """Sends a request with two keys; returns the status."""
        head = f"GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: two\r\n"
        keys = f"Authorization: Token {KEY}\r\nauthorization: Token {SECOND_KEY}\r\n"
        address = self.fleet.front_address(0)
        with socket.create_connection(address, timeout=5) as sock:
            sock.sendall(f"{head}{keys}\r\n".encode())
            return sock.recv(65_536).split()[1]

    def test_each_request_of_a_connection_is_checked(self):
        # Guards against a key that is accepted for the life of a connection.
        host, port = self.fleet.front_address(0)
        connection = HTTPConnection(host, port, timeout=5)
        self.addCleanup(connection.close)

        def send(name: str) -> int:
            return send_on_connection(
                connection, "lookup", name, Authorization=f"Token {KEY}"
            ).status

        self.assertEqual(send("k1"), 200)
        self.put_tenants([{"Name": "small", "ApiKeys": [SECOND_KEY]}])
        self.assertTrue(wait_until(lambda: send("k2") == 401))
        self.assertEqual(self.send(SECOND_KEY).status, 200)

    def test_accepted_request_outlives_its_key(self):
        # Guards against requests that are cut off when their key is removed.
        responses: list[CallerResponse] = []
        thread = threading.Thread(
            target=lambda: responses.append(self.send(KEY, Work_Ms="1500"))
        )
        count = self.run_count()
        thread.start()
        self.assertTrue(wait_until(lambda: self.run_count() > count))
        self.put_tenants([{"Name": "small", "ApiKeys": [SECOND_KEY]}])
        self.assertTrue(wait_until(lambda: self.send(KEY).status == 401))
        thread.join()
        self.assertEqual(responses[0].status, 200)

    def test_key_that_moves_belongs_to_its_new_account(self):
        moved = [{"Name": "small"}, {"Name": "new", "ApiKeys": [KEY]}]
        self.put_tenants(moved)

        def is_moved() -> bool:
            self.assertEqual(self.send(KEY).status, 200)
            return self.run_headers()["tenant"] == "new"

        self.assertTrue(wait_until(is_moved))


class OutageTests(ProcessTestCase):
    """Requests through an entry's process that loses contact or stands still.

    A busy machine may delay the watches, so that keys are refused for a moment. The
    tests wait for a request that is accepted.
    """

    bound = SHORT_BOUND

    def setUp(self):
        super().setUp()
        self.assertTrue(wait_until(lambda: self.send(KEY).status == 200))

    def test_keys_are_refused_without_the_store_and_accepted_again(self):
        self.fleet.store.down = True
        self.assertTrue(wait_until(lambda: self.send(KEY).status == 503))
        count = self.run_count()
        for key in (KEY, "unknown-key", ""):
            response = self.send(key)
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
        self.assertEqual(self.run_count(), count)
        self.assertEqual(self.send(route="open").status, 200)
        self.assertIn("fighitch_refuses_keys 1.0", self.metrics())
        self.assertTrue(self.fleet.is_ready(self.fleet.entries[0]))
        self.fleet.store.down = False
        self.assertTrue(wait_until(lambda: self.send(KEY).status == 200))
        self.assertTrue(
            wait_until(lambda: "fighitch_refuses_keys 0.0" in self.metrics())
        )
        log = self.fleet.entries[0].log()
        self.assertIn("event=keys_refused", log)
        self.assertIn("event=keys_accepted", log)
        for key in (KEY, SECOND_KEY, "unknown-key"):
            self.assertNotIn(key, log + self.metrics())

    def test_removed_key_does_not_run_after_a_freeze(self):
        # Guards against a decision by the time at which the process was frozen.
        entry = self.fleet.entries[0]
        host, port = self.fleet.front_address(0)
        entry.signal(signal.SIGSTOP)
        self.addCleanup(entry.signal, signal.SIGCONT)
        self.put_tenants([{"Name": "small", "ApiKeys": [SECOND_KEY]}])
        # The frozen entry must not learn of the removal once it goes on.
        self.fleet.store.down = True
        time.sleep(self.bound)
        connection = HTTPConnection(host, port, timeout=10)
        self.addCleanup(connection.close)
        headers = {"Host": HOST, "Attempt-Id": "f1", "Authorization": f"Token {KEY}"}
        connection.request("POST", "/lookup/x", body=b"body", headers=headers)
        entry.signal(signal.SIGCONT)
        self.assertEqual(connection.getresponse().status, 503)
        self.assertEqual(self.send(SECOND_KEY).status, 503)


if __name__ == "__main__":
    unittest.main()
