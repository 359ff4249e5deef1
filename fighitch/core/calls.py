"""Requests in flight at a sidecar and their calls to the backend server."""

from dataclasses import dataclass, field

from fighitch.core.effects import CallBackend
from fighitch.core.ledger import Outcome
from fighitch.core.messages import Submit
from fighitch.core.streams import AnswerStream
from fighitch.core.tickets import Ticket
from fighitch.core.waiting import Work
from fighitch.types import Seconds


@dataclass(slots=True)
class Request:
    """A request from its admission to its end.

    Attributes:
        work: What the queue knows of it.
        submit: Message that started it.
        stream: Stream of the attempt that started it; None if that entry is gone.
        ticket: Ticket of an order; None for idempotent work.
        joined: Streams of repeated attempts, which get the whole outcome at the end.
        call: Number of the running call; None while it waits.
        pin: Pin on the adapter version of the running call.
        started: Time at which the running call was made.
        ready_at: Time at which its adapter version was first ready.
        queued: Time spent waiting with a ready adapter version.
        waits_since: Start of the current wait.
        verified: Whether the running call answers from the right version.
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        model: Version that the backend server named.
        generated: Text that earlier calls and the running one have produced.
        generated_tokens: Number of tokens in it.
        held: Answer data that is not sent before the end.
        failures: Engine failures that it was continued after.
        unsent_retries: Calls repeated because nothing of them was sent.
        wrong_versions: Calls that answered from another version.
    """

    work: Work
    submit: Submit
    stream: AnswerStream | None
    waits_since: Seconds
    ticket: Ticket | None = None
    joined: list[AnswerStream] = field(default_factory=list)
    call: int | None = None
    pin: int | None = None
    started: Seconds = 0.0
    queued: Seconds = 0.0
    stalled: Seconds = 0.0
    ready_at: Seconds | None = None
    verified: bool = False
    status: int = 0
    content_type: str = "application/json"
    model: str = ""
    generated: list[str] = field(default_factory=list)
    generated_tokens: int = 0
    held: bytearray = field(default_factory=bytearray)
    failures: int = 0
    unsent_retries: int = 0
    wrong_versions: int = 0

    @property
    def is_order(self) -> bool:
        """Whether it must not run more than once."""
        return self.ticket is not None

    @property
    def has_audience(self) -> bool:
        """Whether any attempt waits for its answer."""
        return self.stream is not None or bool(self.joined)

    @property
    def outcome(self) -> Outcome:
        """The whole answer of an order."""
        return Outcome(self.status, bytes(self.held), self.content_type, self.model)

    def begin_wait(self, now: Seconds, *, is_ready: bool) -> None:
        """Starts to measure a wait in the queue."""
        self.waits_since = now
        self.ready_at = now if is_ready else None

    def begin_call(self, number: int, now: Seconds) -> CallBackend:
        """Starts a call and returns it."""
        ready_at = (
            now if self.ready_at is None else max(self.ready_at, self.waits_since)
        )
        self.stalled += ready_at - self.waits_since
        self.queued += now - ready_at
        self.call = number
        self.started = now
        self.verified = False
        submit = self.submit
        return CallBackend(
            request_id=submit.request_id,
            attempt=submit.attempt,
            call=number,
            path=submit.path,
            method=submit.method,
            body=submit.body,
            adapter_version=submit.adapter_version,
            rank=submit.rank,
            generated="".join(self.generated),
            generated_tokens=self.generated_tokens,
            ticket=submit.ticket,
            streamed=submit.streamed,
            traceparent=submit.traceparent,
        )

    def prepare_continuation(self) -> None:
        """Makes the next call continue the answer.

        A stream continues after the text that was sent. An answer that is not streamed
        is one document, which two calls cannot share, so it starts again.
        """
        self.call = None
        if self.submit.streamed:
            return
        self.held.clear()
        self.generated.clear()
        self.generated_tokens = 0


class RequestTable:
    """Requests by number and by the number of their running call."""

    def __init__(self) -> None:
        self._requests: dict[int, Request] = {}
        self._by_call: dict[int, Request] = {}
        self._last_number = 0
        self._last_call = 0

    def __len__(self) -> int:
        return len(self._requests)

    def next_number(self) -> int:
        """Returns a number for a new request."""
        self._last_number += 1
        return self._last_number

    def add(self, request: Request) -> None:
        """Adds a request."""
        self._requests[request.work.number] = request

    def get(self, number: int) -> Request | None:
        """Returns the request of that number."""
        return self._requests.get(number)

    def of_call(self, call: int) -> Request | None:
        """Returns the request that the call runs for; None if the call is over."""
        return self._by_call.get(call)

    def running(self) -> tuple[Request, ...]:
        """Returns the requests that have a call, oldest call first."""
        return tuple(self._by_call.values())

    def begin_call(self, request: Request, now: Seconds) -> CallBackend:
        """Starts the next call of a request."""
        self._last_call += 1
        self._by_call[self._last_call] = request
        return request.begin_call(self._last_call, now)

    def end_call(self, request: Request) -> None:
        """Ends the running call; its late events find no request."""
        if request.call is not None:
            del self._by_call[request.call]
            request.call = None

    def remove(self, request: Request) -> None:
        """Removes a request that has ended."""
        self.end_call(request)
        del self._requests[request.work.number]
