"""Tests of ``fighitch.cli``, run as commands against fake servers."""

import io
import json
import sys
import tempfile
import types
import unittest
from pathlib import Path
from unittest import mock

from cleo.io.outputs.buffered_output import BufferedOutput

from fighitch.cli.app import COMMANDS, run
from fighitch.cli.exit_codes import MEANINGS, ExitCode, most_severe
from fighitch.core.operators import is_signed
from fighitch.core.tickets import SharedKey
from fighitch.tests.fake_http import (
    DROP_AFTER_WRITE,
    FakeEntry,
    FakeObjectApi,
    placement,
)

ROOT = Path(__file__).resolve().parents[2]
SECRET = "00112233445566778899aabbccddeeff"
BACKEND = {
    "apiVersion": "fighitch.dev/v1",
    "kind": "BackendServer",
    "metadata": {"name": "engine-1", "labels": {"zone": "a"}},
    "spec": {"type": "engine", "address": "127.0.0.1:9", "model": "base"},
}


class CommandTestCase(unittest.TestCase):
    def setUp(self):
        self.api, self.entry = self.server(FakeObjectApi()), self.server(FakeEntry())
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.configure(self.entry)

    def server(self, server):
        self.addCleanup(server.close)
        return server

    def configure(self, *entries, **more):
        settings = {
            "object_api": self.api.url,
            "entries": [entry.address for entry in entries],
            "shared_keys": [{"key_id": "k1", "secret": SECRET}],
            "manager": "ann",
            "confirm_seconds": 0,
            **more,
        }
        self.settings = self.write_file("client.json", settings)

    def write_file(self, name, content):
        path = self.directory / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def run_command(self, *arguments, settings=True):
        self.output, self.errors = BufferedOutput(), BufferedOutput()
        settings_arguments = ["-s", self.settings] if settings else []
        return run(
            ["fighitch", *arguments, *settings_arguments],
            output=self.output,
            error_output=self.errors,
        )

    def assert_exit(self, code, *arguments, out=(), err=(), settings=True):
        exit_code = self.run_command(*arguments, settings=settings)
        output, errors = self.output.fetch(), self.errors.fetch()
        self.assertEqual(ExitCode(exit_code), code, output + errors)
        for substring in [out] if isinstance(out, str) else out:
            self.assertIn(substring, output)
        for substring in [err] if isinstance(err, str) else err:
            self.assertIn(substring, errors)
        return output

    def stored(self, kind="Placement", name="a"):
        return self.api.objects[kind, name]


class ApplyTests(CommandTestCase):
    def apply(self, code, *documents, extra=(), **expected):
        path = self.write_file("objects.json", list(documents))
        return self.assert_exit(code, "apply", "-f", path, *extra, **expected)

    def test_objects_are_committed_and_handed_over_signed(self):
        self.apply(ExitCode.OK, placement("a"), out=["created", "accepted"])
        signature, body = self.entry.uploads[0]
        key = SharedKey("k1", bytes.fromhex(SECRET))
        self.assertTrue(is_signed(body, signature, [key]))
        self.assertEqual(json.loads(body)["resources"], [self.stored()])
        self.apply(ExitCode.OK, placement("a"), out="unchanged")

    def test_list_with_comments_is_read_from_standard_input(self):
        items = json.dumps([placement("a"), placement("b")])
        text = f'// two\n{{"kind": "List", "items": {items},}}'
        with mock.patch.object(sys, "stdin", io.StringIO(text)):
            self.assert_exit(ExitCode.OK, "apply", "-f", "-", out="'b': created")

    def test_conflict_keeps_the_object_and_applies_the_others(self):
        """Guards against a silent overwrite, and against stopping at a conflict."""
        self.apply(ExitCode.OK, placement("a"))
        other_content = self.api.put({**self.stored(), "spec": {"maxReplicas": 9}})
        desired = [placement("a", replicas=3), placement("b")]
        self.apply(
            ExitCode.CONFLICT,
            *desired,
            err=["'a': conflict", "spec.maxReplicas"],
            out=["'b': created", "accepted"],
        )
        self.assertEqual(self.stored(), other_content)
        self.apply(ExitCode.OK, *desired, extra=["--force"], out="'a': replaced")

    def test_change_between_read_and_write_is_a_conflict(self):
        """Guards against a lost update in a race between two operators."""
        self.apply(ExitCode.OK, placement("a"))
        self.api.before_write = lambda: self.api.put(placement("a", replicas=9))
        self.apply(ExitCode.CONFLICT, placement("a", replicas=3))
        self.assertEqual(self.stored()["spec"]["maxReplicas"], 9)

    def test_nothing_is_written_if_one_object_is_invalid(self):
        """Guards against a partially applied configuration."""
        invalid = {**placement("b"), "spec": {"colour": 1}}
        self.apply(ExitCode.INVALID, placement("a"), invalid, err=["objects.json:1:"])
        self.apply(ExitCode.INVALID, placement("a"), placement("a"), err="twice")
        self.assertEqual(self.api.objects, {})

    def test_lost_response_is_resolved_or_reported_as_unknown(self):
        self.api.faults.extend([None, DROP_AFTER_WRITE])
        self.apply(ExitCode.OK, placement("a"), out="created")
        self.api.faults.extend([None, DROP_AFTER_WRITE, 503])
        self.apply(ExitCode.UNKNOWN_OUTCOME, placement("b"), err="unknown")

    def test_unavailable_object_api_stops_the_writes(self):
        """Guards against waiting for a timeout for each object."""
        self.api.faults.append(503)
        documents = [placement("a"), placement("b")]
        self.apply(ExitCode.UNAVAILABLE, *documents, err=["503", "'b': unavailable"])
        self.assertEqual(len(self.api.requests), 1)

    def test_rate_limited_writes_are_retried(self):
        """Guards against a bulk change that ends at the first status 429."""
        self.api.faults.extend([429, None, 429])
        self.apply(ExitCode.OK, placement("a"), out="created")

    def test_many_objects_are_read_with_one_list(self):
        """Guards against two calls to the object API for each object."""
        documents = [placement(f"p{number}") for number in range(20)]
        self.apply(ExitCode.OK, *documents)
        self.apply(ExitCode.OK, *documents, out="'p19': unchanged")
        self.assertEqual(len(self.api.requests), 1 + 20 + 1)

    def test_one_confirmation_suffices_and_none_has_its_own_code(self):
        """Guards against reporting 'accepted' for a change that no entry has."""
        unconfirming_entry = self.server(FakeEntry(applies_uploads=False))
        self.configure(unconfirming_entry, self.entry)
        self.apply(
            ExitCode.OK, placement("a"), out="1 of 2", err=unconfirming_entry.address
        )
        self.configure(unconfirming_entry)
        self.apply(ExitCode.NOT_CONFIRMED, placement("b"), err="does not hold")
        self.assertIn(("Placement", "b"), self.api.objects)

    def test_missing_key_is_detected_before_the_write(self):
        self.configure(self.entry, shared_keys=[])
        self.apply(ExitCode.INVALID, placement("a"), err="shared_keys")
        self.assertEqual(self.api.requests, [])

    def test_json_output_is_one_document(self):
        output = self.apply(ExitCode.OK, placement("a"), extra=["-o", "json"])
        self.assertEqual(json.loads(output)[0]["outcome"], "created")


class PruneTests(CommandTestCase):
    def test_old_claims_are_deleted_and_new_ones_kept(self):
        """Guards against claims that accumulate, and against deleting a new one."""
        for name, year in (("old", "2020"), ("new", "2999")):
            metadata = {"name": name, "creationTimestamp": f"{year}-01-01T00:00:00Z"}
            self.api.put({"kind": "Claim", "metadata": metadata, "spec": {}})
        self.assert_exit(ExitCode.OK, "prune", out="'old': deleted")
        self.assertEqual([name for _, name in self.api.objects], ["new"])

    def test_age_below_the_lifetime_of_a_ticket_is_rejected(self):
        self.assert_exit(ExitCode.INVALID, "prune", "--older-than", "1", err="2")


class ReadTests(CommandTestCase):
    def setUp(self):
        super().setUp()
        self.api.put(placement("a", labels={"tier": "gold"}))
        self.api.put(placement("b"))
        self.api.put(BACKEND)

    def test_get_with_selector_name_and_formats(self):
        output = self.assert_exit(ExitCode.OK, "get", "Placement", "-l", "tier=gold")
        self.assertEqual(len(output.splitlines()), 2)
        self.assertIn("tier=gold", output)
        output = self.assert_exit(ExitCode.OK, "get", "placements", "-o", "json")
        names = [item["metadata"]["name"] for item in json.loads(output)["items"]]
        self.assertEqual(names, ["a", "b"])
        self.assert_exit(ExitCode.NOT_FOUND, "get", "placement", "x", err="404")

    def test_describe_names_related_objects(self):
        self.api.put({**placement("c"), "spec": {"backendServerSelector": "zone=a"}})
        command = ("describe", "placement", "c")
        self.assert_exit(ExitCode.OK, *command, out="allowed backend servers: engine-1")

    def test_invalid_arguments_are_rejected(self):
        for arguments, substring in (
            (("get", "rooms"), "adapters"),
            (("get", "adapters", "-o", "xml"), "'json'"),
            (("get", "adapters", "-l", "a in b"), "a in b"),
            (("get",), "kind"),
            (("label", "placement", "a"), "key=value"),
            (("label", "placement", "a", "tier"), "tier"),
            (("delete", "placement"), "name or a selector"),
            (("delete", "placement", "-l", ""), "every object"),
            (("drain", "adapter", "a"), "backendserver"),
            (("check", "--type", "x", "f"), "entry, sidecar, client"),
            (("completion", "tcsh"), "bash, zsh, fish"),
            (("entry",), "--settings"),
            (("nonsense",), "nonsense"),
        ):
            with self.subTest(arguments):
                needs_settings = arguments[0] in ("get", "label", "delete", "drain")
                self.assert_exit(
                    ExitCode.INVALID, *arguments, err=substring, settings=needs_settings
                )

    def test_watch_prints_the_list_and_changes(self):
        changed = placement("a", labels={"tier": "tin"}, resourceVersion="9")
        lines = [json.dumps({"type": "MODIFIED", "object": changed})]
        self.api.watch_lines = lines
        with mock.patch("fighitch.cli.watch.time.sleep", side_effect=KeyboardInterrupt):
            output = self.assert_exit(
                ExitCode.OK, "watch", "placements", "-l", "tier=gold"
            )
        events = [line.split()[:3] for line in output.splitlines()]
        self.assertEqual(events, [["ADDED", "1", "a"], ["UNSELECTED", "9", "a"]])


class ChangeTests(CommandTestCase):
    def setUp(self):
        super().setUp()
        self.api.put(placement("a", labels={"tier": "gold", "old": "1"}))
        self.api.put(placement("b"))

    def test_label_by_name_and_by_selector(self):
        command = ("label", "placement", "a", "tier=tin", "old-")
        self.assert_exit(ExitCode.OK, *command, out=["replaced", "accepted"])
        self.assertEqual(self.stored()["metadata"]["labels"], {"tier": "tin"})
        self.assert_exit(ExitCode.OK, "label", "placements", "-l", "!tier", "tier=new")
        self.assertEqual(self.stored(name="b")["metadata"]["labels"], {"tier": "new"})
        command = ("label", "placements", "-l", "tier=none", "x=1")
        self.assert_exit(ExitCode.NOT_FOUND, *command)

    def test_drain_sets_the_label_and_hands_it_over(self):
        self.api.put(BACKEND)
        self.assert_exit(ExitCode.OK, "drain", "backendserver", "engine-1")
        labels = self.stored("BackendServer", "engine-1")["metadata"]["labels"]
        self.assertEqual(labels, {"zone": "a", "fighitch.dev/drain": "true"})
        self.assertIn(b"fighitch.dev/drain", self.entry.uploads[0][1])
        self.assert_exit(ExitCode.OK, "drain", "backendservers", "-l", "zone", "--undo")
        labels = self.stored("BackendServer", "engine-1")["metadata"]["labels"]
        self.assertEqual(labels, {"zone": "a"})

    def test_delete_by_name_selector_and_file(self):
        self.assert_exit(ExitCode.OK, "delete", "placement", "a", out="deleted")
        self.assert_exit(ExitCode.NOT_FOUND, "delete", "placement", "a")
        self.assert_exit(ExitCode.OK, "delete", "placements", "-l", "!tier")
        self.api.put(placement("c"))
        path = self.write_file("c.json", placement("c"))
        self.assert_exit(ExitCode.OK, "delete", "-f", path)
        self.assertEqual(self.api.objects, {})

    def test_delete_by_selector_keeps_an_object_that_changed(self):
        """Guards against deleting an object that no longer matches the selector."""
        self.api.before_write = lambda: self.api.put(placement("a"))
        command = ("delete", "placements", "-l", "tier=gold")
        self.assert_exit(ExitCode.CONFLICT, *command, err="conflict")


class StatusTests(CommandTestCase):
    STATUS = {
        "instance": "entry-1",
        "state": "ready",
        "revision": 12,
        "age_seconds": 1.25,
        "backend_servers": [
            {"name": "engine-1", "state": "alive", "running": 3, "queued": {"0": 2}}
        ],
    }

    def test_status_lists_entries_and_backend_servers(self):
        self.entry.status = self.STATUS
        self.configure(self.entry, entries=[self.entry.address, "127.0.0.1:1"])
        output = self.assert_exit(ExitCode.OK, "status", err="entry 127.0.0.1:1")
        rows = [line.split() for line in output.splitlines()]
        self.assertEqual(rows[1][1:4], ["entry-1", "ready", "12"])
        self.assertEqual(rows[4][:4], ["engine-1", "alive", "3", "2"])

    def test_status_without_a_responding_entry(self):
        self.configure(entries=["127.0.0.1:1"])
        self.assert_exit(ExitCode.UNAVAILABLE, "status", err="none of 1")

    def test_explain_joins_the_records_of_all_processes(self):
        sidecar = self.server(FakeEntry())
        first = {"id": "e/1", "predecessors": [], "event": "received", "at": 1}
        sidecar.records = [{"id": "s/1", "predecessors": ["e/2"], "event": "queued"}]
        second = {"id": "e/2", "predecessors": ["e/1"], "event": "sent"}
        self.entry.records = [second, first]
        self.configure(self.entry, sidecars=[sidecar.address])
        output = self.assert_exit(ExitCode.OK, "explain", "r1")
        events = [line.split()[2] for line in output.splitlines()]
        self.assertEqual(events, ["received", "sent", "queued"])
        sidecar.records, self.entry.records = [], []
        self.assert_exit(ExitCode.NOT_FOUND, "explain", "r1", err="queried 2")


class LocalTests(CommandTestCase):
    def test_check_reports_the_error(self):
        command = ("check", self.settings)
        self.assert_exit(ExitCode.OK, *command, out="type client", settings=False)
        path = self.write_file("entry.json", '{\n"http_address": "x"}')
        self.assert_exit(
            ExitCode.INVALID, "check", path, err=f"{path}:1: instance", settings=False
        )
        path = self.write_file("objects.json", [placement("a")])
        self.assert_exit(ExitCode.OK, "check", path, out="1 objects", settings=False)

    def test_completion_scripts_name_the_commands(self):
        for shell in ("bash", "zsh", "fish"):
            command = ("completion", shell)
            self.assert_exit(ExitCode.OK, *command, out="explain", settings=False)

    def test_daemons_receive_the_settings_path(self):
        for name in ("entry", "sidecar"):
            daemon = types.ModuleType(name)
            daemon.run = mock.Mock(return_value=0)
            with mock.patch.dict(sys.modules, {f"fighitch.daemons.{name}": daemon}):
                self.assert_exit(
                    ExitCode.OK, name, "--settings", "f.json", settings=False
                )
            daemon.run.assert_called_once_with("f.json")

    def test_every_command_has_help_with_examples(self):
        for command in COMMANDS:
            name = command.name
            self.assert_exit(ExitCode.OK, "help", name, out="Example", settings=False)


class ExitCodeTests(unittest.TestCase):
    def test_unknown_outcome_takes_precedence(self):
        codes = [ExitCode.OK, ExitCode.CONFLICT, ExitCode.UNKNOWN_OUTCOME]
        self.assertIs(most_severe(codes), ExitCode.UNKNOWN_OUTCOME)
        self.assertIs(most_severe([]), ExitCode.OK)

    def test_page_lists_every_exit_code_and_command(self):
        """Guards against documented exit codes that differ from the program's."""
        page = ROOT.joinpath("docs", "client.md").read_text(encoding="utf-8")
        for code in ExitCode:
            self.assertIn(f"| {code.value} | {MEANINGS[code]} |", page)
        for command in COMMANDS:
            self.assertIn(f"fighitch {command.name}", page)
