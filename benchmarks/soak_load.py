"""Random load of all three ranks for soak runs; every answer is checked on arrival."""

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
MAX_REPEATS = 4
# Targets of the sample configuration's work policies.
TARGETS: dict[str, Seconds] = {"urgent": 0.5, "interactive": 1.0}
READY_POLL: Seconds = 0.2
# Shares of the orders whose caller first leaves, and of those sent twice at once.
LEAVING_SHARE = 0.15
TWIN_SHARE = 0.15
_ADAPTERS = {
    **{f"advisor-{n}": ("interactive", "v1") for n in range(1, 7)},
    **{f"writer-{n}": ("batch", "v2") for n in range(1, 5)},
}
# Shares of the kinds of requests, in percent.
_WORK = {"stream": 20, "whole": 24, "lookup": 28, "order": 22, "gone": 6}


class Balancer:
    """Sends callers to the entries that said lately that they are ready."""

    def __init__(self, deployment: Deployment) -> None:
        """Takes the deployment; ``run`` polls the entries."""
        self._deployment = deployment
        self._ready: Sequence[str] = deployment.entries
        self.stopping = threading.Event()

    def run(self) -> None:
        """Asks every entry again and again until ``stopping`` is set."""
        while not self.stopping.wait(READY_POLL):
            ready = [
                entry
                for entry in self._deployment.entries
                if fetch(f"{self._deployment.caller_url(entry)}/readyz", timeout=1.0)[0]
                == http.HTTPStatus.OK
            ]
            self._ready = ready or self._deployment.entries

    def order(self, rng: random.Random) -> list[str]:
        """Returns the entries in the order in which to try them."""
        ready = list(self._ready)
        rng.shuffle(ready)
        return ready + [name for name in self._deployment.entries if name not in ready]


class Load:
    """Workers that send requests until the time or the number of requests is over."""

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
            deployment: Where to send requests.
            records: Takes what was seen.
            seed: Decides what each worker sends.
            deadline: Monotonic time at which no new request is sent.
            max_requests: Most requests; 0 for no limit.
            pause: Mean pause of a worker between two requests.
        """
        self._seed = seed
        self._deadline = deadline
        self._max_requests = max_requests
        self._pause = pause
        self._records = records
        self._deployment = deployment
        self.balancer = Balancer(deployment)

    def run_worker(self, number: int) -> None:
        """Sends one request after the other."""
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
    work: str
    path: str
    body: Any = None
    method: str = "POST"
    key: str = ""


class _Worker:
    """One caller; what it sends depends on its own random numbers only."""

    def __init__(
        self, deployment: Deployment, records: Records, balancer: Balancer, name: str
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
        """Sends a random request and checks its answer."""
        work = self.rng.choices(list(_WORK), list(_WORK.values()))[0]
        number = next(self._numbers)
        if work == "lookup":
            self._lookup(number)
        elif work == "order":
            self._order(number)
        elif work == "gone":
            self._leave(number)
        else:
            self._generate(number, streamed=work == "stream")

    # --- Idempotent work ---

    def _lookup(self, number: int) -> None:
        target = f"/items/{self._name}-{number}"
        call = _Call("lookup", f"/services/stock{target}", method="GET")
        started = time.monotonic()
        _, reply = self._call(call)
        self._timed("interactive", started, reply)
        if reply.status == http.HTTPStatus.OK and reply.json()["path"] != target:
            self._records.violation(
                "answer of another request", asked=target, got=reply.body
            )

    def _generate(self, number: int, *, streamed: bool) -> None:
        adapter, asked, body, prompt = self._generation(number)
        is_chat = "messages" in body
        path = "/v1/chat/completions" if is_chat else "/v1/completions"
        started = time.monotonic()
        work = "stream" if streamed else "whole"
        _, reply = self._call(_Call(work, path, {**body, "stream": streamed}))
        rank, initial = _ADAPTERS[adapter]
        self._timed(rank, started, reply)
        if reply.status != http.HTTPStatus.OK or not reply.is_whole:
            return
        if asked:
            allowed = {asked}
        else:
            allowed = self._records.allowed_values(
                f"Adapter/{adapter}", initial, started, time.monotonic()
            )
        self._check_text(reply, adapter, allowed, prompt, body["max_tokens"])

    def _generation(self, number: int) -> tuple[str, str, dict[str, Any], str]:
        adapter = self.rng.choice(list(_ADAPTERS))
        asked = self.rng.choice(("", *sample.VERSIONS))
        text = f"request {self._name}-{number} " + "word " * self.rng.randrange(20)
        tokens = self.rng.choice((1, 2, 4, 8, 16, 32))
        model = f"{adapter}@{asked}" if asked else adapter
        body: dict[str, Any] = {"model": model, "max_tokens": tokens}
        if self.rng.random() < 0.5:
            body["messages"] = [{"role": "user", "content": text}]
            return adapter, asked, body, f"user: {text}"
        body["prompt"] = text
        return adapter, asked, body, text

    def _check_text(
        self, reply: Reply, adapter: str, allowed: set[str], prompt: str, tokens: int
    ) -> None:
        model = reply.headers.get("x-model", "")
        request_id = reply.headers.get("x-request-id", "")
        if model not in {f"{adapter}@{version}" for version in allowed}:
            self._records.violation(
                "wrong version",
                request_id=request_id,
                got=model,
                adapter=adapter,
                allowed=sorted(allowed),
            )
        is_stream = reply.headers.get("content-type", "").startswith("text/event")
        try:
            if is_stream and not reply.body.endswith(b"data: [DONE]\n\n"):
                raise ValueError("no final mark")
            text = reply.text()
            models = {event["model"] for event in reply.events()} if is_stream else ()
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            self._records.violation(
                "unreadable answer",
                request_id=request_id,
                error=str(error),
                tail=reply.body[-200:],
            )
            return
        if text != generated_text(model, prompt, 0, tokens):
            self._records.violation(
                "wrong text", request_id=request_id, prompt=prompt, text=text
            )
        if is_stream and models != {model}:
            self._records.violation(
                "wrong version in stream", request_id=request_id, models=sorted(models)
            )

    def _leave(self, number: int) -> None:
        """Sends a request and closes the connection before the answer is whole."""
        _, _, body, _ = self._generation(number)
        path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
        data = msgspec.json.encode({**body, "stream": True})
        self._send_and_leave(path, data)
        self._records.answered("gone", Reply(499, is_whole=True))

    def _send_and_leave(self, path: str, data: bytes, *, key: str = "") -> None:
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
            self._records.note("connection of a leaving caller failed")

    # --- Orders ---

    def _order(self, number: int) -> None:
        """Sends an order and repeats it with the same key until it is answered."""
        is_issued = self.rng.random() < 0.5
        key = f"chosen-{self._name}-{number}"
        if is_issued:
            entry = self._balancer.order(self.rng)[0]
            key = self._caller.issue_key(self._deployment.caller_url(entry), **_ORDERS)
            if not key:
                self._records.note("no key was issued")
                return
        history = OrderHistory(key, is_issued)
        body = msgspec.json.encode({"order": f"{self._name}-{number}"})
        call = _Call("order", "/services/orders/orders", body, key=key)
        if self.rng.random() < LEAVING_SHARE:
            self._send_and_leave(call.path, body, key=key)
            history.run_states.append("")
        twin = None
        if self.rng.random() < TWIN_SHARE:
            twin = self._start_twin(call, body)
        started = time.monotonic()
        answers: list[Reply] = []
        avoided = ""
        for attempt in range(MAX_REPEATS):
            avoided, reply = self._call(call, avoid=avoided)
            history.run_states.append(_state_of(reply))
            if attempt == 0:
                self._timed("urgent", started, reply)
            if reply.status == http.HTTPStatus.OK:
                answers.append(reply)
                self._check_order(reply, body, key)
                if len(answers) > 1 or self.rng.random() < 0.7:
                    break
            else:
                time.sleep(self.rng.uniform(0.05, 0.5))
        if twin is not None:
            reply = twin.result()
            history.run_states.append(_state_of(reply))
            if reply.status == http.HTTPStatus.OK:
                answers.append(reply)
        whole = {answer.body for answer in answers if answer.is_whole}
        if len(whole) > 1:
            self._records.violation(
                "repeat answered differently", key=key, answers=sorted(whole)
            )
        self._records.order(history)

    def _start_twin(self, call: _Call, body: bytes) -> Future[Reply]:
        """Sends the same order at the same time, from another connection."""
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
        answer = reply.json()
        if answer["body_sha256"] != hashlib.sha256(body).hexdigest():
            self._records.violation("answer of another order", key=key, got=answer)
        if answer["run"] != 1:
            self._records.violation("order ran twice", key=key, got=answer)

    # --- Calls ---

    def _call(
        self, call: _Call, *, avoid: str = "", entries: Sequence[str] = ()
    ) -> tuple[str, Reply]:
        """Makes a call; refused connections are tried again as a balancer does."""
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
        self._records.answered(call.work, reply)
        self._check_form(call, entry, reply, started)
        return entry, reply

    def _check_form(
        self, call: _Call, entry: str, reply: Reply, started: Seconds
    ) -> None:
        what = ""
        if not reply.status and reply.is_connected:
            what = "connection lost"
        elif reply.status and not reply.is_whole:
            what = "ended by an error event"
            if b"event: error" not in reply.body:
                what = "cut"
        elif _is_unclear(reply):
            what = reply.error_kind
        if what:
            detail = f"{call.work} {what} {reply.headers.get('x-request-id', '')}"
            self._records.unclear_answer(entry, detail, started, time.monotonic())
        if reply.error_kind == "internal" or (
            reply.status >= 400 and not reply.run_state
        ):
            self._records.violation("answer without a stated cause", body=reply.body)

    def _timed(self, rank: str, started: Seconds, reply: Reply) -> None:
        if rank in TARGETS:
            is_in_time = time.monotonic() - started <= TARGETS[rank]
            is_good = reply.status == http.HTTPStatus.OK and reply.is_whole
            self._records.timed(rank, is_good and is_in_time)


def _state_of(reply: Reply) -> str:
    """Returns the run state; a service's own error says nothing about its work."""
    is_own_error = reply.run_state == "ran" and reply.status != http.HTTPStatus.OK
    return "failed" if is_own_error else reply.run_state


_ORDERS = {"service": "orders"}


def _is_unclear(reply: Reply) -> bool:
    """Returns whether an answer leaves open what became of this very request.

    A request that reached no sidecar was not run; its answer says "unknown" only
    because an earlier request with the same key may have been.
    """
    if reply.error_kind == "key_expired":
        return False
    was_sent = reply.headers.get("x-attempt-sent") != "false"
    return reply.run_state == "unknown" and was_sent
