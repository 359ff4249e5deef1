"""Requests in flight at a sidecar and their calls to the backend server."""

from dataclasses import dataclass, field

from fighitch.core.effects import CallBackend
from fighitch.core.errors import RunState
from fighitch.core.invariants import check
from fighitch.core.messages import Submit
from fighitch.core.sidecar.rank_queue import WorkItem
from fighitch.core.sidecar.streams import AnswerStream, StreamKey
from fighitch.core.tickets import Ticket
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
        queued: Time spent waiting with a ready adapter version.
        stalled: Time spent waiting for an adapter load.
        waiting_since: Start of the current wait.
        verified: Whether the running call answers from the right version.
        status: HTTP status of the answer.
        content_type: Media type of the answer.
        model: Version that the backend server named.
        generated: Text that earlier calls and the running one have produced.
        generated_tokens: Number of tokens in it.
        buffered: Answer data that is kept until the end.
        is_buffer_complete: Whether ``buffered`` has all data of the answer.
        sent_calls: Calls of which a byte may have reached the backend server.
        interruptions: Engine failures that it was continued after.
        unsent_retries: Calls repeated because nothing of them was sent.
        was_paused: Whether it gave way to other work that needed its adapter slot.
        wrong_versions: Calls that answered from another version.
    """

    work: WorkItem
    submit: Submit
    stream: AnswerStream | None
    waiting_since: Seconds
    ticket: Ticket | None = None
    joined: list[AnswerStream] = field(default_factory=list)
    call: int | None = None
    pin: int | None = None
    started: Seconds = 0.0
    queued: Seconds = 0.0
    stalled: Seconds = 0.0
    verified: bool = False
    status: int = 0
    content_type: str = "application/json"
    model: str = ""
    generated: list[str] = field(default_factory=list)
    generated_tokens: int = 0
    buffered: bytearray = field(default_factory=bytearray)
    is_buffer_complete: bool = True
    sent_calls: int = 0
    interruptions: int = 0
    unsent_retries: int = 0
    was_paused: bool = False
    wrong_versions: int = 0

    @property
    def is_order(self) -> bool:
        """Whether it must not run more than once."""
        return self.ticket is not None

    @property
    def streams(self) -> tuple[AnswerStream, ...]:
        """Streams of all attempts that wait for the answer."""
        first = () if self.stream is None else (self.stream,)
        return (*first, *self.joined)

    @property
    def run_state(self) -> RunState:
        """What may be said of a request that ends without an answer."""
        return RunState.UNKNOWN if self.sent_calls else RunState.NOT_RUN

    def begin_call(
        self, number: int, now: Seconds, *, ready_since: Seconds
    ) -> CallBackend:
        """Starts a call.

        Args:
            number: Number of the call.
            now: Current time.
            ready_since: Time since which its adapter version is ready.

        Returns:
            The call.
        """
        ready_at = min(max(ready_since, self.waiting_since), now)
        self.stalled += ready_at - self.waiting_since
        self.queued += now - ready_at
        self.call = number
        self.sent_calls += 1
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
            deadline=self.work.deadline,
        )

    def buffer_data(self, data: bytes, *, limit: int) -> bool:
        """Keeps answer data for the end; returns whether all of it fits the limit."""
        if self.is_buffer_complete and len(self.buffered) + len(data) <= limit:
            self.buffered += data
            return True
        self.is_buffer_complete = False
        self.buffered.clear()
        return False

    def begin_wait(self, now: Seconds) -> None:
        """Makes the next call continue the answer.

        A stream continues after the text that was sent. An answer that is not streamed
        is one document, which the last call gives whole, with the text of the earlier
        ones in front; bytes of an earlier call are dropped. A backend server whose
        answers cannot be continued reports no text and starts again.
        """
        self.waiting_since = now
        if not self.submit.streamed:
            self.buffered.clear()
            self.is_buffer_complete = True


class RequestTable:
    """Requests by number and by the number of their running call."""

    def __init__(self) -> None:
        self._requests: dict[int, Request] = {}
        self._by_call: dict[int, Request] = {}
        self._by_stream: dict[StreamKey, Request] = {}
        self._last_number = 0
        self._last_call = 0

    def __len__(self) -> int:
        return len(self._requests)

    @property
    def running_calls(self) -> int:
        """Number of calls at the backend server."""
        return len(self._by_call)

    def next_number(self) -> int:
        """Returns a number for a new request."""
        self._last_number += 1
        return self._last_number

    def add(self, request: Request) -> None:
        """Adds a request with the stream that it answers."""
        self._requests[request.work.number] = request
        if request.stream is not None:
            self._by_stream[request.stream.key] = request

    def join(self, request: Request, stream: AnswerStream) -> None:
        """Adds a repeated attempt, which gets the whole outcome at the end."""
        request.joined.append(stream)
        self._by_stream[stream.key] = request

    def detach(self, stream: AnswerStream) -> Request | None:
        """Takes an attempt from its request, which goes on; returns the request."""
        request = self._by_stream.pop(stream.key, None)
        if request is None:
            return None
        if request.stream is stream:
            request.stream = None
        else:
            request.joined.remove(stream)
        return request

    def get(self, number: int) -> Request | None:
        """Returns the request of that number."""
        return self._requests.get(number)

    def of_call(self, call: int) -> Request | None:
        """Returns the request that the call runs for; None if the call is over."""
        return self._by_call.get(call)

    def running(self) -> tuple[Request, ...]:
        """Returns the requests that have a call, oldest call first."""
        return tuple(self._by_call.values())

    def begin_call(
        self, request: Request, now: Seconds, *, ready_since: Seconds
    ) -> CallBackend:
        """Starts the next call of a request."""
        check(request.call is None, "one_call_for_a_request", call=request.call)
        self._last_call += 1
        self._by_call[self._last_call] = request
        return request.begin_call(self._last_call, now, ready_since=ready_since)

    def end_call(self, request: Request) -> None:
        """Ends the running call; its late events find no request."""
        if request.call is not None:
            del self._by_call[request.call]
            request.call = None

    def remove(self, request: Request) -> None:
        """Removes a request that has ended."""
        self.end_call(request)
        for stream in request.streams:
            self._by_stream.pop(stream.key, None)
        del self._requests[request.work.number]
