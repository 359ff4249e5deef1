"""Random load of all three ranks for soak runs; checks every reply on arrival."""

import hashlib
import http.client
import itertools
import random
import socket
import threading
import time
from collections.abc import Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

import msgspec

from benchmarks import sample
from benchmarks.callers import Caller, Reply
from benchmarks.deployment import Deployment, fetch
from benchmarks.soak_records import OrderHistory, Records
from fighitch.types import Seconds
from standins.engine_model import generated_text

CALLER_TIMEOUT: Seconds = 40.0
REQUEST_TIMEOUT_MS = 15_000
WORKERS = 24
MAX_ORDER_ATTEMPTS = 4
# Latency targets of the work policies in the sample configuration.
LATENCY_TARGETS: dict[str, Seconds] = {"urgent": 0.5, "interactive": 1.0}
READY_POLL_INTERVAL: Seconds = 0.2
# Shares of orders that are first sent by a caller that disconnects, and of orders sent
# twice concurrently.
DISCONNECT_SHARE = 0.15
DUPLICATE_SHARE = 0.15
_ADAPTERS = {
    **{f"advisor-{n}": ("interactive", "v1") for n in range(1, 7)},
    **{f"writer-{n}": ("batch", "v2") for n in range(1, 5)},
}
# Share of each kind of request, in percent.
_REQUEST_MIX = {"stream": 20, "whole": 24, "lookup": 28, "order": 22, "gone": 6}


class LoadBalancer:
    """Prefers the entries whose last readiness check succeeded."""

    def __init__(self, deployment: Deployment) -> None:
        """Prepares the balancer; ``run`` polls the entries."""
        self._deployment = deployment
        self._ready: Sequence[str] = deployment.entries
        self.stopping = threading.Event()

    def run(self) -> None:
        """Polls the readiness of every entry until ``stopping`` is set."""
        while not self.stopping.wait(READY_POLL_INTERVAL):
            ready = [
                entry
                for entry in self._deployment.entries
                if fetch(f"{self._deployment.caller_url(entry)}/readyz", timeout=1.0)[0]
                == http.HTTPStatus.OK
            ]
            self._ready = ready or self._deployment.entries

    def order(self, rng: random.Random) -> list[str]:
        """Returns the entries in the order to try, ready ones first."""
        ready = list(self._ready)
        rng.shuffle(ready)
        return ready + [name for name in self._deployment.entries if name not in ready]


class LoadGenerator:
    """Workers that send requests until the deadline or the limit of requests."""

    def __init__(
        self,
        deployment: Deployment,
        records: Records,
        *,
        seed: int,
        deadline: Seconds,
        max_requests: int,
        pause: Seconds,
    ) -> None:
        """Prepares the load.

        Args:
            deployment: Deployment that receives the requests.
            records: Receives the observations.
            seed: Determines what each worker sends.
            deadline: Monotonic time from which no new request is sent.
            max_requests: Maximum number of requests; 0 for no limit.
            pause: Mean pause of a worker between two requests.
        """
        self._seed = seed
        self._deadline = deadline
        self._max_requests = max_requests
        self._pause = pause
        self._records = records
        self._deployment = deployment
        self.balancer = LoadBalancer(deployment)

    def run_worker(self, number: int) -> None:
        """Sends requests sequentially until the load is over."""
        worker = _Worker(
            self._deployment, self._records, self.balancer, f"{self._seed}-{number}"
        )
        while not self.is_over:
            worker.send_one()
            time.sleep(worker.rng.expovariate(1 / self._pause))

    @property
    def is_over(self) -> bool:
        """Whether no further request is to be sent."""
        limit = self._max_requests
        is_enough = limit > 0 and self._records.requests >= limit
        return is_enough or time.monotonic() >= self._deadline


@dataclass(frozen=True, slots=True)
class _Call:
    request_kind: str
    path: str
    body: Any = None
    method: str = "POST"
    key: str = ""


class _Worker:
    """One caller, with its own random generator so that its requests are repeatable."""

    def __init__(
        self,
        deployment: Deployment,
        records: Records,
        balancer: LoadBalancer,
        name: str,
    ) -> None:
        self.rng = random.Random(name)
        self._name = name
        self._deployment = deployment
        self._records = records
        self._balancer = balancer
        self._numbers = itertools.count(1)
        key = self.rng.choice((sample.CALLER_KEY, sample.OTHER_CALLER_KEY))
        self._key = key
        self._caller = Caller(key, timeout=CALLER_TIMEOUT)

    def send_one(self) -> None:
        """Sends a random request and checks its reply."""
        request_kind = self.rng.choices(
            list(_REQUEST_MIX), list(_REQUEST_MIX.values())
        )[0]
        number = next(self._numbers)
        if request_kind == "lookup":
            self._lookup(number)
        elif request_kind == "order":
            self._order(number)
        elif request_kind == "gone":
            self._generate_and_disconnect(number)
        else:
            self._generate(number, streamed=request_kind == "stream")

    # --- Idempotent requests ---

    def _lookup(self, number: int) -> None:
        target = f"/items/{self._name}-{number}"
        call = _Call("lookup", f"/services/stock{target}", method="GET")
        started = time.monotonic()
        _, reply = self._call(call)
        self._record_timeliness("interactive", started, reply)
        if reply.status == http.HTTPStatus.OK and reply.json()["path"] != target:
            self._records.record_violation(
                "response of another request", asked=target, got=reply.body
            )

    def _generate(self, number: int, *, streamed: bool) -> None:
        adapter, requested_version, body, prompt = self._generation(number)
        is_chat = "messages" in body
        path = "/v1/chat/completions" if is_chat else "/v1/completions"
        started = time.monotonic()
        request_kind = "stream" if streamed else "whole"
        _, reply = self._call(_Call(request_kind, path, {**body, "stream": streamed}))
        rank, initial = _ADAPTERS[adapter]
        self._record_timeliness(rank, started, reply)
        if reply.status != http.HTTPStatus.OK or not reply.is_whole:
            return
        if requested_version:
            allowed = {requested_version}
        else:
            allowed = self._records.allowed_values(
                f"Adapter/{adapter}", initial, started, time.monotonic()
            )
        self._check_text(reply, adapter, allowed, prompt, body["max_tokens"])

    def _generation(self, number: int) -> tuple[str, str, dict[str, Any], str]:
        adapter = self.rng.choice(list(_ADAPTERS))
        requested_version = self.rng.choice(("", *sample.VERSIONS))
        text = f"request {self._name}-{number} " + "word " * self.rng.randrange(20)
        tokens = self.rng.choice((1, 2, 4, 8, 16, 32))
        model = f"{adapter}@{requested_version}" if requested_version else adapter
        body: dict[str, Any] = {"model": model, "max_tokens": tokens}
        if self.rng.random() < 0.5:
            body["messages"] = [{"role": "user", "content": text}]
            return adapter, requested_version, body, f"user: {text}"
        body["prompt"] = text
        return adapter, requested_version, body, text

    def _check_text(
        self, reply: Reply, adapter: str, allowed: set[str], prompt: str, tokens: int
    ) -> None:
        model = reply.headers.get("x-model", "")
        request_id = reply.headers.get("x-request-id", "")
        if model not in {f"{adapter}@{version}" for version in allowed}:
            self._records.record_violation(
                "wrong version",
                request_id=request_id,
                got=model,
                adapter=adapter,
                allowed=sorted(allowed),
            )
        is_stream = reply.headers.get("content-type", "").startswith("text/event")
        try:
            if is_stream and not reply.body.endswith(b"data: [DONE]\n\n"):
                raise ValueError("no [DONE] marker")
            text = reply.text()
            models = {event["model"] for event in reply.events()} if is_stream else ()
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            self._records.record_violation(
                "unreadable response",
                request_id=request_id,
                error=str(error),
                tail=reply.body[-200:],
            )
            return
        if text != generated_text(model, prompt, 0, tokens):
            self._records.record_violation(
                "wrong text", request_id=request_id, prompt=prompt, text=text
            )
        if is_stream and models != {model}:
            self._records.record_violation(
                "wrong version in stream", request_id=request_id, models=sorted(models)
            )

    def _generate_and_disconnect(self, number: int) -> None:
        """Sends a request and disconnects before the response is complete."""
        _, _, body, _ = self._generation(number)
        path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
        data = msgspec.json.encode({**body, "stream": True})
        self._send_and_disconnect(path, data)
        self._records.count_reply("gone", Reply(499, is_whole=True))

    def _send_and_disconnect(self, path: str, data: bytes, *, key: str = "") -> None:
        entry = self._balancer.order(self.rng)[0]
        host, _, port = self._deployment.caller_url(entry)[7:].partition(":")
        key_line = f"Idempotency-Key: {key}\r\n" if key else ""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {self._key}\r\n"
            f"Content-Type: application/json\r\n{key_line}"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        try:
            with socket.create_connection((host, int(port)), timeout=1.0) as sock:
                sock.sendall(head.encode() + data)
                time.sleep(self.rng.uniform(0.0, 0.1))
        except OSError:
            self._records.count_note("connection of a disconnecting caller failed")

    # --- Orders ---

    def _order(self, number: int) -> None:
        """Sends an order and repeats it with the same key until it succeeds."""
        is_issued = self.rng.random() < 0.5
        key = f"chosen-{self._name}-{number}"
        if is_issued:
            entry = self._balancer.order(self.rng)[0]
            key = self._caller.issue_key(
                self._deployment.caller_url(entry), **_ORDER_TARGET
            )
            if not key:
                self._records.count_note("no key was issued")
                return
        history = OrderHistory(key, is_issued)
        body = msgspec.json.encode({"order": f"{self._name}-{number}"})
        call = _Call("order", "/services/orders/orders", body, key=key)
        if self.rng.random() < DISCONNECT_SHARE:
            self._send_and_disconnect(call.path, body, key=key)
            history.run_states.append("")
        duplicate = None
        if self.rng.random() < DUPLICATE_SHARE:
            duplicate = self._start_duplicate(call, body)
        started = time.monotonic()
        replies: list[Reply] = []
        previous_entry = ""
        for attempt in range(MAX_ORDER_ATTEMPTS):
            previous_entry, reply = self._call(call, avoid=previous_entry)
            history.run_states.append(_order_run_state(reply))
            if attempt == 0:
                self._record_timeliness("urgent", started, reply)
            if reply.status == http.HTTPStatus.OK:
                replies.append(reply)
                self._check_order(reply, body, key)
                if len(replies) > 1 or self.rng.random() < 0.7:
                    break
            else:
                time.sleep(self.rng.uniform(0.05, 0.5))
        if duplicate is not None:
            reply = duplicate.result()
            history.run_states.append(_order_run_state(reply))
            if reply.status == http.HTTPStatus.OK:
                replies.append(reply)
        whole = {item.body for item in replies if item.is_whole}
        if len(whole) > 1:
            self._records.record_violation(
                "repeat got a different response", key=key, answers=sorted(whole)
            )
        self._records.record_order(history)

    def _start_duplicate(self, call: _Call, body: bytes) -> Future[Reply]:
        """Sends the same order concurrently on another connection."""
        entries = self._balancer.order(self.rng)[::-1]
        future: Future[Reply] = Future()

        def run() -> None:
            try:
                _, reply = self._call(call, entries=entries)
                if reply.status == http.HTTPStatus.OK:
                    self._check_order(reply, body, call.key)
                future.set_result(reply)
            except BaseException as error:
                future.set_exception(error)

        threading.Thread(target=run, daemon=True).start()
        return future

    def _check_order(self, reply: Reply, body: bytes, key: str) -> None:
        if not reply.is_whole:
            return
        receipt = reply.json()
        if receipt["body_sha256"] != hashlib.sha256(body).hexdigest():
            self._records.record_violation(
                "response of another order", key=key, got=receipt
            )
        if receipt["run"] != 1:
            self._records.record_violation("order ran twice", key=key, got=receipt)

    # --- Requests ---

    def _call(
        self, call: _Call, *, avoid: str = "", entries: Sequence[str] = ()
    ) -> tuple[str, Reply]:
        """Sends a request; refused connections are retried on the next entry."""
        headers = {"X-Request-Timeout-Ms": str(REQUEST_TIMEOUT_MS)}
        if call.key:
            headers["Idempotency-Key"] = call.key
        if not entries:
            entries = sorted(
                self._balancer.order(self.rng), key=lambda name: name == avoid
            )
        for entry in entries:
            started = time.monotonic()
            reply = self._caller.call(
                self._deployment.caller_url(entry),
                call.path,
                call.body,
                method=call.method,
                headers=headers,
            )
            if reply.is_connected and reply.error_kind != "draining":
                break
        self._records.count_reply(call.request_kind, reply)
        self._check_outcome(call, entry, reply, started)
        return entry, reply

    def _check_outcome(
        self, call: _Call, entry: str, reply: Reply, started: Seconds
    ) -> None:
        what = ""
        if not reply.status and reply.is_connected:
            what = "connection lost"
        elif reply.status and not reply.is_whole:
            what = "ended by an error event"
            if b"event: error" not in reply.body:
                what = "cut"
        elif _is_outcome_unclear(reply):
            what = reply.error_kind
        if what:
            detail = (
                f"{call.request_kind} {what} {reply.headers.get('x-request-id', '')}"
            )
            self._records.record_unclear_reply(entry, detail, started, time.monotonic())
        if reply.error_kind == "internal" or (
            reply.status >= 400 and not reply.run_state
        ):
            self._records.record_violation(
                "response without a stated cause", body=reply.body
            )

    def _record_timeliness(self, rank: str, started: Seconds, reply: Reply) -> None:
        if rank in LATENCY_TARGETS:
            is_in_time = time.monotonic() - started <= LATENCY_TARGETS[rank]
            is_good = reply.status == http.HTTPStatus.OK and reply.is_whole
            self._records.count_timeliness(rank, is_good and is_in_time)


def _order_run_state(reply: Reply) -> str:
    """Returns the run state; "failed" for an error of the service itself.

    Such an error leaves open whether the order took effect.
    """
    is_own_error = reply.run_state == "ran" and reply.status != http.HTTPStatus.OK
    return "failed" if is_own_error else reply.run_state


_ORDER_TARGET = {"service": "orders"}


def _is_outcome_unclear(reply: Reply) -> bool:
    """Returns whether a reply leaves open if this particular request ran.

    A request that reached no sidecar was not run; its reply says "unknown" only
    because an earlier request with the same key may have run.
    """
    if reply.error_kind == "key_expired":
        return False
    was_sent = reply.headers.get("x-attempt-sent") != "false"
    return reply.run_state == "unknown" and was_sent
