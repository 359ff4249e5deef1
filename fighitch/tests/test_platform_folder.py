import copy
import dataclasses
import functools
import json
import math
import unittest

import msgspec

from fighitch.core.gateway.adapter_cache import (
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
)
from fighitch.core.gateway.model import AdapterName, ServerState, WorkKind
from fighitch.core.gateway.quarantine import StoredQuarantine
from fighitch.platform import requests, store
from fighitch.platform.configuration import (
    decode_adapter_version,
    decode_configuration,
)
from fighitch.platform.engine import decode_heartbeat, decode_report, encode_order
from fighitch.platform.quarantine import (
    decode_quarantine,
    encode_quarantine,
    quarantine_name,
)
from fighitch.platform.requests import asked_pause, is_leaving
from fighitch.platform.settings import decode_settings
from fighitch.runtime.header_fields import HeaderFields
from fighitch.runtime.http_callers import CallerRequest
from fighitch.runtime.http_exchange import ResponseHead

HEARTBEAT = {
    "Service": "models",
    "Address": "10.0.0.9:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 128,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1@3"]}],
    "Seq": 4,
    "born": 17,
}


def caller_request(*headers: tuple[str, str], method: str = "POST") -> CallerRequest:
    encoded = [(name.encode(), value.encode()) for name, value in headers]
    return CallerRequest(
        method.encode(), b"/p/x?q=1", HeaderFields(encoded), b"body", 0.0
    )


class SettingsTests(unittest.TestCase):
    def settings(self, **changes) -> bytes:
        values = {
            "NodeName": "front-1",
            "Ip": "10.0.0.1",
            "Zone": "z1",
            "InternalPorts": [7380, 7395],
            "Listen": {"Front": "10.0.0.1:80", "ReadinessAddress": "10.0.0.1:81"},
            "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.2, "New": 1},
            "Platform": {"Address": "10.0.0.2:90"},
            "Unknown": True,
        }
        return json.dumps(values | changes).encode()

    def test_settings_are_decoded_and_unknown_keys_ignored(self):
        settings = decode_settings(self.settings())
        self.assertEqual(settings.instance, "front-1")
        self.assertEqual(str(settings.callers), "10.0.0.1:80")
        self.assertEqual(settings.peer_port, 7380)
        self.assertIsNone(settings.engine)
        self.assertEqual(settings.stop_grace, 8)

    def test_drain_notice_is_decoded_to_seconds(self):
        settings = decode_settings(self.settings(Bounds={"DrainMs": 3_000}))
        self.assertEqual(settings.drain_notice, 3.0)

    def test_error_names_the_bad_address(self):
        with self.assertRaisesRegex(msgspec.ValidationError, "'nowhere'"):
            decode_settings(self.settings(app="nowhere"))

    def test_empty_list_of_internal_ports_is_an_error(self):
        # An IndexError would end the process at startup and escape a reload.
        with self.assertRaisesRegex(msgspec.ValidationError, "InternalPorts"):
            decode_settings(self.settings(InternalPorts=[]))

    def test_port_that_is_no_ascii_number_is_an_error(self):
        with self.assertRaises(msgspec.ValidationError):
            decode_settings(self.settings(app="10.0.0.1:\u00b2"))

    def test_port_out_of_range_is_an_error(self):
        for port in (0, 70_000, "9" * 5_000):
            with self.subTest(port), self.assertRaises(msgspec.ValidationError):
                decode_settings(self.settings(Platform={"Address": f"10.0.0.2:{port}"}))


class DeeplyNestedTests(unittest.TestCase):
    """msgspec raises RecursionError, which callers of the decoders do not expect."""

    NESTED = b'{"Unknown": %s}' % (b"[" * 1_100 + b"]" * 1_100)

    def test_deeply_nested_input_is_a_decode_error(self):
        decoders = (
            decode_adapter_version,
            decode_configuration,
            decode_quarantine,
            decode_report,
            decode_settings,
            functools.partial(decode_heartbeat, "i-1"),
            store.decode_object,
        )
        for decode in decoders:
            with self.subTest(decode), self.assertRaises(msgspec.DecodeError):
                decode(msgspec.Raw(self.NESTED))


# Each as JSON: too large, negative, no whole number, or of another type.
ODD_NUMBERS = (
    b"1" + b"0" * 400,
    b"1" + b"0" * 5_000,
    b"-1" + b"0" * 400,
    b"1e999",
    b"1e300",
    b"18446744073709551616",
    b"9223372036854775808",
    b"9007199254740992",
    b"-1",
    b"1.5",
    b"Infinity",
    b"NaN",
    b"true",
    b'"1"',
    b"[1]",
    b"null",
)


def with_field(content: dict, path: str, value: bytes) -> msgspec.Raw:
    """Returns JSON with another value of a field, given by keys with dots between."""
    parent = content = copy.deepcopy(content)
    *keys, last = path.split(".")
    for key in keys:
        parent = parent[int(key) if key.isdigit() else key]
    parent[last] = msgspec.Raw(value)
    return msgspec.Raw(msgspec.json.encode(content))


class OddNumberTests(unittest.TestCase):
    """Numbers that later computations or messages can't hold.

    A start time of 400 digits raised an OverflowError when it was sent to the agent, so
    that an entry connected to none of the agents after it.
    """

    CONFIGURATION = {
        "Version": 3,
        "Routes": [
            {
                "Name": "r",
                "Host": "h",
                "PathPrefix": "/",
                "Kind": "streaming",
                "TimeoutMs": 900,
                "Priority": 1,
                "MaxAttempts": 1,
                "TargetLatencyMs": 500,
                "GapAimMs": 20,
                "WeightedBackends": [{"Service": "models", "Weight": 1}],
            }
        ],
        "Services": [
            {
                "Name": "models",
                "MaxConnections": 9,
                "Engine": {
                    "Slots": 4,
                    "KvCapacity": 100,
                    "WeightsMb": 9,
                    "MaxAdapters": 4,
                    "LoadsPerS": 2,
                    "Models": [{"Name": "m", "WeightsMb": 1, "LoadTimeS": 1}],
                },
            }
        ],
        "Limits": {"MaxHeaderBytes": 100, "IdleTimeoutMs": 10},
    }
    REPORT = {
        "Seq": 2,
        "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1@3"]}],
        "born": 7,
    }
    # Fields of whole numbers.
    FIELDS = (
        (functools.partial(decode_heartbeat, "i-1"), HEARTBEAT, "Slots"),
        (functools.partial(decode_heartbeat, "i-1"), HEARTBEAT, "born"),
        (functools.partial(decode_heartbeat, "i-1"), HEARTBEAT, "Models.0.Version"),
        (decode_report, REPORT, "Seq"),
        (decode_report, REPORT, "born"),
        (decode_report, REPORT, "Models.0.Version"),
        (decode_configuration, CONFIGURATION, "Version"),
        (decode_configuration, CONFIGURATION, "Routes.0.Priority"),
        (decode_configuration, CONFIGURATION, "Routes.0.MaxAttempts"),
        (decode_configuration, CONFIGURATION, "Services.0.MaxConnections"),
        (decode_configuration, CONFIGURATION, "Services.0.Engine.Slots"),
        (decode_configuration, CONFIGURATION, "Services.0.Engine.KvCapacity"),
        (decode_configuration, CONFIGURATION, "Services.0.Engine.MaxAdapters"),
        (decode_configuration, CONFIGURATION, "Limits.MaxHeaderBytes"),
        (
            decode_adapter_version,
            {"Model": "m", "Adapter": "a", "Version": 2},
            "Version",
        ),
        (decode_quarantine, {"parts": ["p"], "until_ms": 5}, "until_ms"),
    )
    # Fields that may have a fraction.
    AMOUNTS = (
        "Routes.0.TimeoutMs",
        "Routes.0.TargetLatencyMs",
        "Routes.0.GapAimMs",
        "Routes.0.WeightedBackends.0.Weight",
        "Services.0.Engine.WeightsMb",
        "Services.0.Engine.LoadsPerS",
        "Services.0.Engine.Models.0.WeightsMb",
        "Services.0.Engine.Models.0.LoadTimeS",
        "Services.0.Engine.Models.0.AdapterSizeMb",
        "Limits.IdleTimeoutMs",
    )

    def test_odd_whole_numbers_are_errors(self):
        for decode, content, path in self.FIELDS:
            decode(with_field(content, path, b"7"))
            for value in ODD_NUMBERS:
                with (
                    self.subTest(content=list(content)[0], path=path, value=value[:30]),
                    self.assertRaises(msgspec.DecodeError),
                ):
                    decode(with_field(content, path, value))

    def test_odd_amounts_are_errors(self):
        for path in self.AMOUNTS:
            decode_configuration(with_field(self.CONFIGURATION, path, b"1.5"))
            for value in ODD_NUMBERS:
                if value in (b"1.5", b"9007199254740992"):
                    continue
                with (
                    self.subTest(path=path, value=value[:30]),
                    self.assertRaises(msgspec.DecodeError),
                ):
                    decode_configuration(with_field(self.CONFIGURATION, path, value))

    def test_server_without_slots_is_an_error(self):
        with self.assertRaises(msgspec.DecodeError):
            decode_heartbeat("i-1", with_field(HEARTBEAT, "Slots", b"0"))

    def test_odd_version_of_an_adapter_is_an_error(self):
        # int raises ValueError for more than 4,300 digits.
        for version in ("9" * 5_000, "9" * 400, str(2**64), str(2**53)):
            adapters = [{"Name": "m", "Adapters": [f"a@{version}"]}]
            for decode, content in (
                (functools.partial(decode_heartbeat, "i-1"), HEARTBEAT),
                (decode_report, self.REPORT),
            ):
                spec = json.dumps(content | {"Models": adapters}).encode()
                with self.subTest(version[:30]):
                    with self.assertRaises(msgspec.DecodeError) as caught:
                        decode(msgspec.Raw(spec))
                    self.assertLess(len(str(caught.exception)), 200)

    def test_odd_runs_do_not_hide_a_report(self):
        for events in (b"-1", b"1" + b"0" * 400):
            report = with_field(self.REPORT, "Runs", b'[["r", 1, %s, 0]]' % events)
            self.assertEqual(decode_report(report).events, {})

    def test_what_is_decoded_fits_the_messages_to_agents(self):
        largest = b"%d" % (2**53 - 1)
        for decode, content, path in self.FIELDS[6:14]:
            spec = dataclasses.asdict(decode(with_field(content, path, largest)))
            msgspec.json.encode(spec)
            msgspec.msgpack.encode(spec)


class HeartbeatTests(unittest.TestCase):
    def decode(self, **changes):
        spec = msgspec.Raw(json.dumps(HEARTBEAT | changes).encode())
        return decode_heartbeat("i-1", spec)

    def test_port_that_is_no_ascii_number_is_an_error(self):
        # str.isdigit accepts characters that int does not.
        spec = {
            "Service": "models",
            "Address": "10.0.0.1:\u00b2",
            "Zone": "z1",
            "State": "ready",
            "Slots": 4,
        }
        with self.assertRaises(msgspec.ValidationError):
            decode_heartbeat("i-1", msgspec.Raw(json.dumps(spec).encode()))

    def test_address_is_an_ipv4_address_and_a_port(self):
        # An OverflowError of the connection left callers without a response, and a
        # name would be looked up while all other requests wait.
        for address in (
            "10.0.0.9:0",
            "10.0.0.9:65536",
            "10.0.0.9:70000",
            "10.0.0.9:%s" % ("9" * 5_000),
            "10.0.0.9:-1",
            "10.0.0.9:+1",
            "10.0.0.9:",
            "10.0.0.9",
            ":80",
            "engine.example:80",
            "localhost:80",
            "[::1]:80",
            "::1:80",
            "10.0.0:80",
            "10.0.0.256:80",
            "10.0.0.09:80",
            " 10.0.0.9:80",
            "10.0.0.9\x00:80",
            "10.0.0.9 :80",
            "\u0661.0.0.9:80",
            "0.0.0.0:80",
            "224.0.0.1:80",
            "255.255.255.255:80",
            "",
        ):
            with self.subTest(address[:30]):
                with self.assertRaises(msgspec.ValidationError) as caught:
                    self.decode(Address=address)
                self.assertLess(len(str(caught.exception)), 400)
        self.assertEqual(self.decode(Address="10.0.0.9:65535").port, 65_535)

    def test_id_that_cannot_be_sent_in_a_header_is_an_error(self):
        # A request to such a server had no response (UnicodeEncodeError), or the id
        # added a header to it.
        spec = msgspec.Raw(json.dumps(HEARTBEAT).encode())
        for instance_id in (
            "",
            " ",
            "i 1",
            " i-1",
            "i-1\n",
            "i-1\r\nHold: 1",
            "i-1\t",
            "i-1\x00",
            "i-1\x7f",
            "i-\u00e9",
            "i-\u20ac",
            "i-\ud800",
            "i" * 201,
            "i" * 100_000,
        ):
            with self.subTest(ascii(instance_id[:20])):
                with self.assertRaises(msgspec.DecodeError) as caught:
                    decode_heartbeat(instance_id, spec)
                self.assertLess(len(str(caught.exception)), 200)
        for instance_id in ("i-7f3a91c2", "A_b.c:d/e@f", "i" * 200):
            self.assertEqual(
                decode_heartbeat(instance_id, spec).instance_id, instance_id
            )

    def test_heartbeat_is_decoded(self):
        decoded = self.decode()
        self.assertEqual((decoded.host, decoded.port), ("10.0.0.9", 8080))
        self.assertEqual(decoded.state, ServerState.READY)
        self.assertEqual(decoded.start_time_ms, 17)
        self.assertEqual(decoded.adapters[AdapterName("m", "a1")], 3)

    def test_malformed_heartbeats_are_rejected(self):
        for change in (
            {"State": "dancing"},
            {"Slots": "many"},
            {"Address": "here"},
            {"Service": None},
        ):
            with self.subTest(change), self.assertRaises(msgspec.DecodeError):
                self.decode(**change)


class OddRequestTests(unittest.TestCase):
    """Headers of callers that later computations or messages can't hold."""

    def test_token_counts_fit_the_message_to_the_agent(self):
        # Its encoder raised OverflowError, and the caller got no response.
        for value, expected in (
            ("1" + "0" * 400, (2**31 - 1, 0)),
            ("9" * 5_000, (0, 0)),
            ("-7,-8", (0, 0)),
            ("7," + "9" * 30, (7, 2**31 - 1)),
            ("7,8", (7, 8)),
            ("nan", (0, 0)),
            ("\u00e9", (0, 0)),
        ):
            with self.subTest(value[:20]):
                request = caller_request(("Token-Counts", value))
                size = requests.decode_request(request).size
                self.assertEqual((size.prompt_tokens, size.output_tokens), expected)

    def test_odd_deadlines_do_not_raise(self):
        for value in ("nan", "inf", "-inf", "1e999", "-1", "9" * 5_000, "", "\u00b2"):
            with self.subTest(value[:20]):
                request = caller_request(("Deadline-Ms", value))
                time_left = requests.decode_request(request).time_left
                self.assertTrue(time_left is None or time_left >= 0)


class ReportTests(unittest.TestCase):
    def test_events_of_running_requests(self):
        cases = {
            b"[]": {},
            b'[["r1", 40, 7, 5], ["r2", 1, 0, 5, "more"]]': {"r1": 7, "r2": 0},
            b'[["r1"]]': {},
            b"null": {},
        }
        for runs, expected in cases.items():
            with self.subTest(runs=runs):
                report = decode_report(b'{"Seq": 1, "Runs": %s}' % runs)
                self.assertEqual(report.events, expected)

    def test_report_is_decoded(self):
        body = json.dumps(
            {
                "Stage": "colocated",
                "Models": [{"Name": "m", "Version": 1, "Adapters": ["a1@2", "a2"]}],
                "Busy": False,
                "Seq": 7,
                "State": "draining",
                "RemainingMs": 1500,
                "Coming": ["m/a3@1"],
                "Runs": [["x", 1, 2, 3]],
            }
        ).encode()
        decoded = decode_report(body)
        self.assertEqual(decoded.sequence, 7)
        self.assertEqual(decoded.adapters[AdapterName("m", "a1")], 2)
        self.assertEqual(decoded.loading, {AdapterName("m", "a3")})
        self.assertTrue(decoded.draining)
        self.assertEqual(decoded.time_left, 1.5)


class OrderEncodingTests(unittest.TestCase):
    def encode(self, order) -> dict:
        data = encode_order(order, sequence=2, holder="side-1", fencing_token=9)
        return json.loads(data)

    def test_every_order_carries_the_expected_sequence_number(self):
        # An order without a response may still be executed seconds later; the sequence
        # number makes the engine reject it if it accepted another one before.
        adapter = AdapterName("m", "a1")
        orders = (LoadAdapter(adapter, 0), UnloadAdapter(adapter), LoadModel("m"))
        for order in orders:
            fields = self.encode(order)
            self.assertEqual(fields["Expect"], 2)
            self.assertEqual(fields["Holder"], "side-1")
            self.assertEqual(fields["FencingToken"], 9)

    def test_version_is_encoded_only_if_known(self):
        adapter = AdapterName("m", "a1")
        self.assertNotIn("Version", self.encode(LoadAdapter(adapter, 0)))
        self.assertEqual(self.encode(LoadAdapter(adapter, 4))["Version"], 4)

    def test_model_orders_contain_no_adapter(self):
        self.assertNotIn("Adapter", self.encode(LoadModel("m")))


class ConfigurationTests(unittest.TestCase):
    def test_configuration_is_decoded(self):
        spec = {
            "Version": 7,
            "Routes": [
                {
                    "Name": "r",
                    "Host": "h.example",
                    "PathPrefix": "/p/",
                    "Kind": "streaming",
                    "TimeoutMs": 15000,
                    "TargetLatencyMs": 1000,
                    "Priority": 1,
                    "WeightedBackends": [{"Service": "s", "Weight": 90}],
                    "MaxAttempts": 2,
                    "Resumable": True,
                    "GapAimMs": 600,
                }
            ],
            "Services": [{"Name": "s", "MaxConnections": 620}],
            "Limits": {"IdleTimeoutMs": 9000},
        }
        decoded = decode_configuration(msgspec.Raw(json.dumps(spec).encode()))
        route = decoded.routes[0]
        self.assertEqual(route.kind, WorkKind.STREAMING)
        self.assertTrue(route.repeatable)
        self.assertEqual(route.services[0].service, "s")
        self.assertEqual(route.caller_event_timeout, 4.8)
        self.assertEqual(decoded.limits.idle_timeout, 9.0)

    def test_adapter_version_is_decoded(self):
        spec = msgspec.Raw(b'{"Model":"m","Adapter":"a1","Version":4}')
        self.assertEqual(decode_adapter_version(spec), (AdapterName("m", "a1"), 4))


class StoreTests(unittest.TestCase):
    def test_undecodable_items_are_counted_and_skipped(self):
        body = (
            b'{"items":[{"Metadata":{"Name":"a","Revision":3},"Spec":{}},"x"],"At":5}'
        )
        page = store.decode_list(body)
        self.assertEqual([item.name for item in page.objects], ["a"])
        self.assertEqual((page.unreadable, page.revision), (1, 5))

    def test_removals_are_decoded(self):
        body = (
            b'{"events":[{"Tombstone":true,"Object":{"Metadata":{"Name":"a"}}}],"At":9}'
        )
        page = store.decode_watch(body)
        self.assertTrue(page.objects[0].removed)

    def test_targets(self):
        self.assertEqual(store.list_target("k", "a b"), "/objects/k?after=a%20b")
        self.assertEqual(
            store.watch_target("k", 5, 2.0), "/objects/k?Watch=5&WaitMs=2000"
        )


class RequestTests(unittest.TestCase):
    def encode(self, request: CallerRequest, **options) -> bytes:
        return requests.encode_request(
            request, time_left=1.5, instance_id="i-1", **options
        )

    def test_internal_headers_from_callers_are_dropped(self):
        request = caller_request(
            ("Host", "h"),
            ("Attempt-Id", "x"),
            ("Hold", "1"),
            ("Pin-Ms", "9"),
            ("Kv-From", "1.2.3.4:5/6"),
            ("kv-backup", "1.2.3.4:5"),
            ("Request-Priority", "0"),
            ("Expect-Instance", "i-2"),
            ("Deadline-Ms", "99999"),
        )
        data = self.encode(request, priority=3)
        head = data.split(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        self.assertEqual(
            sorted(head),
            sorted(
                [
                    b"Host: h",
                    b"Attempt-Id: x",
                    b"Deadline-Ms: 1500",
                    b"Expect-Instance: i-1",
                    b"Request-Priority: 3",
                    b"Content-Length: 4",
                ]
            ),
        )

    def test_headers_listed_in_connection_are_dropped_except_the_request_id(self):
        request = caller_request(
            ("Host", "h"),
            ("Attempt-Id", "x"),
            ("X-Hop", "1"),
            ("Connection", "X-Hop, Attempt-Id"),
        )
        data = self.encode(request)
        self.assertNotIn(b"X-Hop", data)
        self.assertIn(b"Attempt-Id: x", data)

    def test_duplicate_request_id_counts_as_missing(self):
        request = caller_request(("Attempt-Id", "x"), ("attempt-id", "y"))
        self.assertEqual(requests.decode_request(request).request_id, "")

    def test_request_metadata_is_decoded(self):
        metadata = requests.decode_request(
            caller_request(
                ("Host", "h"),
                ("Attempt-Id", "x"),
                ("Model", "m/a1"),
                ("Token-Counts", "1460,80"),
                ("Deadline-Ms", "2500"),
            )
        )
        self.assertEqual(metadata.path, "/p/x")
        self.assertEqual(metadata.adapter, AdapterName("m", "a1"))
        self.assertEqual(metadata.size.prompt_tokens, 1460)
        self.assertEqual(metadata.time_left, 2.5)

    def test_response_is_genuine_only_if_signed_and_unencoded(self):
        signed = (b"Response-Signature", b"s")
        self.assertTrue(requests.is_genuine(ResponseHead(200, [signed])))
        self.assertFalse(requests.is_genuine(ResponseHead(200, [])))
        encoded = (b"Content-Encoding", b"gzip")
        self.assertFalse(requests.is_genuine(ResponseHead(200, [signed, encoded])))

    def test_only_explicit_rejections_count_as_not_run(self):
        self.assertTrue(requests.was_not_run(ResponseHead(421, [])))
        self.assertTrue(
            requests.was_not_run(ResponseHead(503, [(b"Not-Executed", b"1")]))
        )
        self.assertFalse(requests.was_not_run(ResponseHead(503, [])))


class PromptPartTests(unittest.TestCase):
    def shared_parts(self, value: str) -> tuple[str, ...]:
        request = caller_request(("Prompt-Prefix", value))
        return requests.decode_request(request).shared_parts

    def test_last_part_is_left_out(self):
        # It belongs to the request itself, so that no other request has it.
        self.assertEqual(
            self.shared_parts("5c1e:800, 91bd:410,e440:250"), ("5c1e", "91bd")
        )
        self.assertEqual(self.shared_parts("e440:250"), ())
        self.assertEqual(requests.decode_request(caller_request()).shared_parts, ())

    def test_malformed_parts_are_no_error(self):
        self.assertEqual(self.shared_parts(",:,A1,:5,x"), ("a1",))

    def test_number_and_length_of_the_parts_are_limited(self):
        parts = self.shared_parts(",".join(["f" * 10_000 + ":1"] * 1_000))
        self.assertLessEqual(sum(map(len, parts)), 32 * 64)


class ServerLimitTests(unittest.TestCase):
    def limit(self, *values: bytes) -> float | None:
        headers = [(b"Server-Limit", value) for value in values]
        return requests.named_limit(ResponseHead(200, headers))

    def test_decimal_number_is_decoded(self):
        self.assertEqual(self.limit(b"2.3"), 2.3)
        self.assertEqual(self.limit(b"0"), 0.0)
        self.assertIsNone(self.limit())

    def test_other_values_are_no_limit(self):
        for value in (b"", b"many", b"nan", b"inf", b"-inf"):
            with self.subTest(value=value):
                self.assertIsNone(self.limit(value))

    def test_negative_limit_takes_no_request(self):
        self.assertEqual(self.limit(b"-1"), 0.0)


class LeavingTests(unittest.TestCase):
    def test_only_one_counts_as_leaving(self):
        for value, expected in ((b"1", True), (b" 1 ", True), (b"0", False)):
            head = ResponseHead(200, [(b"server-leaving", value)])
            self.assertEqual(is_leaving(head), expected, value)
        self.assertFalse(is_leaving(ResponseHead(200, [])))

    def test_report_names_the_head_of_its_response(self):
        report = decode_report(b'{"Seq":1}', leaving=True)
        self.assertEqual((report.leaving, report.draining), (True, False))


class AskedPauseTests(unittest.TestCase):
    def asked(self, status: int, *values: bytes) -> float | None:
        headers = [(b"Retry-After", value) for value in values]
        return asked_pause(ResponseHead(status, headers))

    def test_seconds_of_a_rejection_are_decoded(self):
        for value, pause in ((b"3", 3.0), (b" 0.25", 0.25), (b"0", 0.0), (b"-1", -1.0)):
            self.assertEqual(self.asked(503, value), pause)

    def test_unreadable_value_is_no_number(self):
        value = self.asked(503, b"Sat, 05 Dec 2026 08:00:00 GMT")
        self.assertTrue(value is not None and math.isnan(value))

    def test_other_responses_ask_for_none(self):
        self.assertIsNone(self.asked(503))
        self.assertIsNone(self.asked(429, b"3"))


class QuarantineCodecTests(unittest.TestCase):
    def test_stored_quarantine_is_decoded(self):
        stored = StoredQuarantine(frozenset({"b", "a"}), 17)
        content = msgspec.Raw(msgspec.json.encode(encode_quarantine(stored)))
        self.assertEqual(decode_quarantine(content), stored)

    def test_name_depends_on_the_parts_only_and_needs_no_quoting(self):
        names = {quarantine_name(frozenset(parts)) for parts in ("ab", "ba")}
        self.assertEqual(len(names), 1)
        self.assertTrue(quarantine_name(frozenset({"/?\n"})).isalnum())

    def test_unreadable_objects_are_rejected(self):
        # An empty group would block every request.
        for content in (b"null", b"{}", b'{"parts":[],"until_ms":1}', b'{"parts":3}'):
            with self.subTest(content=content), self.assertRaises(msgspec.DecodeError):
                decode_quarantine(msgspec.Raw(content))
