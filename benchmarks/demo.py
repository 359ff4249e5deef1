"""Starts a deployment on loopback, sends it requests and checks every response."""

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from benchmarks import sample
from benchmarks.callers import Caller, Reply
from benchmarks.deployment import Deployment

_MS = 1_000
_MAX_TOKENS = 24


@dataclass
class Report:
    """Prints a line for each response and collects the failed checks."""

    failures: list[str] = field(default_factory=list)

    def record_reply(self, title: str, rank: str, reply: Reply, *checks: bool) -> None:
        """Prints a response; it must be complete and all checks must hold."""
        is_ok = reply.is_whole and all(checks)
        if not is_ok:
            self.failures.append(title)
        model = reply.headers.get("x-model", "-")
        print(
            f"{'ok   ' if is_ok else 'WRONG'} {title:<44} rank={rank:<12} "
            f"status={reply.status} run_state={reply.run_state or '-':<8} "
            f"model={model:<14} first_byte_ms={reply.first_byte * _MS:.0f} "
            f"total_ms={reply.duration * _MS:.0f}"
        )

    def record_command(self, title: str, is_ok: bool, text: str) -> None:
        """Prints an operator's command and the first lines of its output."""
        if not is_ok:
            self.failures.append(title)
        print(f"{'ok   ' if is_ok else 'WRONG'} {title}")
        for line in text.strip().splitlines()[:12]:
            print(f"        {line}")


def main() -> int:
    """Runs the demonstration.

    Returns:
        0 if every response and command was correct, else 1.
    """
    plan = sample.plan()
    with Deployment(plan) as deployment:
        print(f"started {len(deployment.processes)} processes")
        documents = [*sample.common_documents(plan), *deployment.backend_documents()]
        print(deployment.apply(documents).strip().splitlines()[-1])
        deployment.wait_ready()
        report = Report()
        _send_model_requests(deployment, report)
        _send_orders(deployment, report)
        _send_invalid_requests(deployment, report)
        _run_operator_commands(deployment, report)
    print(f"{len(report.failures)} wrong answers {report.failures or ''}")
    return 1 if report.failures else 0


def _send_model_requests(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    first, second = map(deployment.caller_url, deployment.entries[:2])
    chat = {
        "model": "advisor-1@v2",
        "messages": [{"role": "user", "content": "Is it safe to go on?"}],
        "max_tokens": _MAX_TOKENS,
        "stream": True,
    }
    streamed = caller.call(first, "/v1/chat/completions", chat)
    report.record_reply(
        "streamed answer on a named adapter version",
        "interactive",
        streamed,
        streamed.status == 200,
        all(event["model"] == "advisor-1@v2" for event in streamed.events()),
    )
    unstreamed = caller.call(second, "/v1/chat/completions", {**chat, "stream": False})
    report.record_reply(
        "the same question, answered whole",
        "interactive",
        unstreamed,
        unstreamed.status == 200,
        unstreamed.status == 200 and unstreamed.text() == streamed.text(),
    )
    default = {"model": "advisor-2", "prompt": "Which one?", "max_tokens": _MAX_TOKENS}
    reply = caller.call(first, "/v1/completions", default)
    report.record_reply(
        "request without a version",
        "interactive",
        reply,
        reply.headers.get("x-model") == "advisor-2@v1",
    )
    lookup = caller.call(second, "/services/stock/items/42", method="GET")
    report.record_reply("lookup", "interactive", lookup, lookup.status == 200)
    drafts = [
        {"model": f"writer-{n}", "prompt": "Summarise.", "max_tokens": 60}
        for n in range(1, 5)
    ]
    with ThreadPoolExecutor(4) as pool:
        replies = pool.map(
            lambda body: caller.call(first, "/v1/completions", body), drafts
        )
    for body, reply in zip(drafts, replies, strict=True):
        report.record_reply(
            f"draft by {body['model']}",
            "batch",
            reply,
            reply.headers.get("x-model") == f"{body['model']}@v2",
        )


def _send_orders(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.OTHER_CALLER_KEY)
    first, second = map(deployment.caller_url, deployment.entries[:2])
    order = {"order": 1, "amount": 3}
    for key_kind, key in (
        ("an issued key", caller.issue_key(first, service="orders")),
        ("a key chosen by the caller", "order-2026-1"),
    ):
        headers = {"Idempotency-Key": key}
        path = "/services/orders/orders"
        original = caller.call(first, path, order, headers=headers)
        report.record_reply(
            f"order with {key_kind}", "urgent", original, original.status == 200
        )
        repeated = caller.call(second, path, order, headers=headers)
        report.record_reply(
            "the same order through the other entry",
            "urgent",
            repeated,
            repeated.body == original.body,
            repeated.headers.get("idempotency-replayed") == "true",
        )
    runs = deployment.control("orders-1-backend")["counters"]
    print(f"      order service counters: {json.dumps(runs)}")


def _send_invalid_requests(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url(deployment.entries[0])
    for title, body, kind in (
        ("unknown adapter", {"model": "nobody"}, "unknown_adapter"),
        ("unknown version", {"model": "advisor-1@v9"}, "unknown_version"),
        ("body that is not JSON", b"{", "bad_request"),
    ):
        reply = caller.call(url, "/v1/completions", body)
        report.record_reply(
            title,
            "-",
            reply,
            reply.error_kind == kind,
            reply.run_state == "not_run",
        )
    reply = Caller("wrong").call(url, "/v1/completions", {"model": "advisor-1"})
    report.record_reply("unknown bearer key", "-", reply, reply.status == 401)


def _run_operator_commands(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url(deployment.entries[0])
    reply = caller.call(
        url, "/v1/completions", {"model": "advisor-3", "prompt": "x", "max_tokens": 4}
    )
    request_id = reply.headers.get("x-request-id", "")
    explained = deployment.client("explain", request_id)
    report.record_command(
        "fighitch explain", explained.returncode == 0, explained.stdout
    )
    status = deployment.client("status")
    report.record_command("fighitch status", status.returncode == 0, status.stdout)
    listing = deployment.client("get", "adapter", "-l", "work=draft")
    report.record_command(
        "fighitch get -l work=draft", "writer-4" in listing.stdout, listing.stdout
    )


if __name__ == "__main__":
    sys.exit(main())
