"""Starts the whole system on loopback, sends it requests and checks every answer."""

import json
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from benchmarks import sample
from benchmarks.callers import Caller, Reply
from benchmarks.deployment import Deployment

_MS = 1_000
_TOKENS = 24


@dataclass
class Report:
    """Prints a line for each answer and remembers what was wrong."""

    wrong: list[str] = field(default_factory=list)

    def show(self, what: str, rank: str, reply: Reply, *checks: bool) -> None:
        """Prints an answer; it is right if every check holds."""
        is_right = reply.is_whole and all(checks)
        if not is_right:
            self.wrong.append(what)
        model = reply.headers.get("x-model", "-")
        print(
            f"{'ok   ' if is_right else 'WRONG'} {what:<44} rank={rank:<12} "
            f"status={reply.status} run_state={reply.run_state or '-':<8} "
            f"model={model:<14} first_byte_ms={reply.first_byte * _MS:.0f} "
            f"total_ms={reply.duration * _MS:.0f}"
        )

    def note(self, what: str, is_right: bool, text: str) -> None:
        """Prints an operator's command and its first lines."""
        if not is_right:
            self.wrong.append(what)
        print(f"{'ok   ' if is_right else 'WRONG'} {what}")
        for line in text.strip().splitlines()[:12]:
            print(f"        {line}")


def main() -> int:
    """Runs the demonstration.

    Returns:
        0 if every answer was right.
    """
    plan = sample.plan()
    with Deployment(plan) as deployment:
        print(f"started {len(deployment.processes)} processes")
        documents = [*sample.common_documents(plan), *deployment.backend_documents()]
        print(deployment.apply(documents).strip().splitlines()[-1])
        deployment.wait_ready()
        report = Report()
        _questions(deployment, report)
        _orders(deployment, report)
        _refusals(deployment, report)
        _operators(deployment, report)
    print(f"{len(report.wrong)} wrong answers {report.wrong or ''}")
    return 1 if report.wrong else 0


def _questions(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    first, second = map(deployment.caller_url, deployment.entries[:2])
    chat = {
        "model": "advisor-1@v2",
        "messages": [{"role": "user", "content": "Is it safe to go on?"}],
        "max_tokens": _TOKENS,
        "stream": True,
    }
    streamed = caller.call(first, "/v1/chat/completions", chat)
    report.show(
        "streamed answer on a named adapter version",
        "interactive",
        streamed,
        streamed.status == 200,
        all(event["model"] == "advisor-1@v2" for event in streamed.events()),
    )
    whole = caller.call(second, "/v1/chat/completions", {**chat, "stream": False})
    report.show(
        "the same question, answered whole",
        "interactive",
        whole,
        whole.status == 200,
        whole.status == 200 and whole.text() == streamed.text(),
    )
    default = {"model": "advisor-2", "prompt": "Which one?", "max_tokens": _TOKENS}
    reply = caller.call(first, "/v1/completions", default)
    report.show(
        "request without a version",
        "interactive",
        reply,
        reply.headers.get("x-model") == "advisor-2@v1",
    )
    lookup = caller.call(second, "/services/stock/items/42", method="GET")
    report.show("lookup", "interactive", lookup, lookup.status == 200)
    drafts = [
        {"model": f"writer-{n}", "prompt": "Summarise.", "max_tokens": 60}
        for n in range(1, 5)
    ]
    with ThreadPoolExecutor(4) as pool:
        replies = pool.map(
            lambda body: caller.call(first, "/v1/completions", body), drafts
        )
    for body, reply in zip(drafts, replies, strict=True):
        report.show(
            f"draft by {body['model']}",
            "batch",
            reply,
            reply.headers.get("x-model") == f"{body['model']}@v2",
        )


def _orders(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.OTHER_CALLER_KEY)
    first, second = map(deployment.caller_url, deployment.entries[:2])
    order = {"order": 1, "amount": 3}
    for what, key in (
        ("an issued key", caller.issue_key(first, service="orders")),
        ("a key chosen by the caller", "order-2026-1"),
    ):
        headers = {"Idempotency-Key": key}
        path = "/services/orders/orders"
        one = caller.call(first, path, order, headers=headers)
        report.show(f"order with {what}", "urgent", one, one.status == 200)
        two = caller.call(second, path, order, headers=headers)
        report.show(
            "the same order through the other entry",
            "urgent",
            two,
            two.body == one.body,
            two.headers.get("idempotency-replayed") == "true",
        )
    runs = deployment.control("orders-1-backend")["counters"]
    print(f"      order service counters: {json.dumps(runs)}")


def _refusals(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url(deployment.entries[0])
    for what, body, kind in (
        ("unknown adapter", {"model": "nobody"}, "unknown_adapter"),
        ("unknown version", {"model": "advisor-1@v9"}, "unknown_version"),
        ("body that is not JSON", b"{", "bad_request"),
    ):
        reply = caller.call(url, "/v1/completions", body)
        report.show(
            what,
            "-",
            reply,
            reply.error_kind == kind,
            reply.run_state == "not_run",
        )
    reply = Caller("wrong").call(url, "/v1/completions", {"model": "advisor-1"})
    report.show("unknown bearer key", "-", reply, reply.status == 401)


def _operators(deployment: Deployment, report: Report) -> None:
    caller = Caller(sample.CALLER_KEY)
    url = deployment.caller_url(deployment.entries[0])
    reply = caller.call(
        url, "/v1/completions", {"model": "advisor-3", "prompt": "x", "max_tokens": 4}
    )
    request_id = reply.headers.get("x-request-id", "")
    explained = deployment.client("explain", request_id)
    report.note("fighitch explain", explained.returncode == 0, explained.stdout)
    status = deployment.client("status")
    report.note("fighitch status", status.returncode == 0, status.stdout)
    found = deployment.client("get", "adapter", "-l", "work=draft")
    report.note("fighitch get -l work=draft", "writer-4" in found.stdout, found.stdout)


if __name__ == "__main__":
    sys.exit(main())
