"""Verifies responses of sidecars before they are sent to callers."""

from functools import singledispatchmethod

from fighitch.core.entry.assembly import ChunkState, ResponseAssembly
from fighitch.core.entry.caller_responses import CallerResponses
from fighitch.core.entry.connections import Link
from fighitch.core.entry.dispatch import Dispatcher
from fighitch.core.entry.membership import Members
from fighitch.core.entry.orders import Orders
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.request_state import Phase, RequestState, RequestTable
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.messages import Chunk, End, Refused
from fighitch.types import Seconds

_MS_PER_SECOND = 1_000
_HTTP_OK = 200
_FIRST_ERROR_STATUS = 400


class ResponseVerifier:
    """Handles the response messages ``Chunk``, ``End`` and ``Refused``."""

    def __init__(
        self,
        *,
        requests: RequestTable,
        members: Members,
        router: Router,
        dispatcher: Dispatcher,
        orders: Orders,
        responses: CallerResponses,
        outbox: Outbox,
        settings: EntrySettings,
    ) -> None:
        self._requests = requests
        self._members = members
        self._router = router
        self._dispatcher = dispatcher
        self._orders = orders
        self._responses = responses
        self._outbox = outbox
        self._settings = settings
        # Bound once, because each access to a singledispatchmethod creates a function.
        self._receive_message = self._receive

    def receive(self, message: Chunk | End | Refused, link: Link, now: Seconds) -> None:
        """Handles a message of a current attempt; drops any other."""
        request = self._requests.get(message.request_id)
        if request is None:
            cause = "unknown or answered request"
        elif message.attempt != request.attempt:
            cause = "another attempt"
        elif (
            request.phase is not Phase.RUNNING or request.connection != link.connection
        ):
            cause = "another connection"
        else:
            self._receive_message(message, request, link, now)
            return
        self._drop(message, link, now, cause)

    @singledispatchmethod
    def _receive(
        self, message: object, request: RequestState, link: Link, now: Seconds
    ) -> None:
        raise TypeError(f"{type(message).__name__} is not a response message")

    @_receive.register
    def _(
        self, message: Chunk, request: RequestState, link: Link, now: Seconds
    ) -> None:
        state = request.assembly.accept(message)
        if state is ChunkState.DUPLICATE:
            self._drop(message, link, now, "duplicate chunk")
        elif state is ChunkState.GAP:
            self._drop(message, link, now, "sequence gap")
            expected = request.assembly.next_sequence
            self._handle_missing_chunks(
                request,
                link,
                now,
                f"chunk {message.sequence} arrived instead of chunk {expected}",
            )
        elif request.caller_request.streamed and message.status == _HTTP_OK:
            self._responses.send_chunk(request, message)

    @_receive.register
    def _(self, message: End, request: RequestState, link: Link, now: Seconds) -> None:
        mismatch = request.assembly.mismatch(message)
        if mismatch and request.assembly.is_missing_chunks(message):
            self._handle_missing_chunks(request, link, now, mismatch)
            return
        if mismatch:
            self._handle_mismatch(request, link, now, mismatch, message.run_state)
            return
        failure = _find_response_failure(request, message)
        if failure is not None:
            self._fail_attempt(request, failure, now)
            return
        self._dispatcher.unbind(request, now)
        self._responses.complete(request, message, now)

    @_receive.register
    def _(
        self, message: Refused, request: RequestState, link: Link, now: Seconds
    ) -> None:
        run_state = message.run_state
        if request.is_resumed and run_state is RunState.NOT_RUN:
            # The sidecar may still read the Submit that was sent on the old connection.
            run_state = RunState.UNKNOWN
        failure = Failure(
            message.kind,
            message.detail,
            run_state,
            message.retry_after / _MS_PER_SECOND if message.retry_after else None,
        )
        self._outbox.log(
            "request_refused",
            now=now,
            request_id=request.request_id,
            cause=message.detail,
            member=request.member,
            kind=message.kind.value,
            run_state=message.run_state.value,
        )
        self._apply_rejection(message, request, now)
        self._fail_attempt(request, failure, now)

    def _apply_rejection(
        self, message: Refused, request: RequestState, now: Seconds
    ) -> None:
        member = self._members.get(request.member)
        if member is None:
            return
        if message.kind is ErrorKind.DRAINING:
            self._members.mark_leaving(member)
        if message.kind is ErrorKind.OVERLOADED and message.retry_after:
            self._router.record_rejection(
                member,
                rank=request.rank,
                now=now,
                retry_after=message.retry_after / _MS_PER_SECOND,
            )

    def _handle_missing_chunks(
        self, request: RequestState, link: Link, now: Seconds, detail: str
    ) -> None:
        """Resumes or retries, unless the missing chunks were already requested."""
        if request.resumed_from == request.assembly.next_sequence:
            # Sent before the sidecar read the pending request for these chunks.
            return
        self._retry_or_resume(request, link, now, detail, RunState.UNKNOWN)

    def _handle_mismatch(
        self,
        request: RequestState,
        link: Link,
        now: Seconds,
        detail: str,
        run_state: RunState,
    ) -> None:
        """Handles a complete response whose length or digest differs from its end."""
        if request.is_started:
            failure = Failure(ErrorKind.INCOMPLETE_ANSWER, detail, run_state)
            self._fail_attempt(request, failure, now)
            return
        request.assembly = ResponseAssembly(
            keeps_data=not request.caller_request.streamed
        )
        self._retry_or_resume(request, link, now, detail, run_state)

    def _retry_or_resume(
        self,
        request: RequestState,
        link: Link,
        now: Seconds,
        detail: str,
        run_state: RunState,
    ) -> None:
        failure = Failure(ErrorKind.INCOMPLETE_ANSWER, detail, run_state)
        if request.order is None and not request.is_started:
            self._dispatcher.unbind(request, now, cancel=True)
            self._dispatcher.retry(request, failure, now)
        elif request.resume_count < self._settings.max_resumes:
            request.resume_count += 1
            self._dispatcher.resume(request, link, now, cause=detail)
        else:
            self._fail_attempt(request, failure, now)

    def _fail_attempt(
        self, request: RequestState, failure: Failure, now: Seconds
    ) -> None:
        if request.order is not None:
            self._orders.fail_attempt(request, failure, now)
            return
        self._dispatcher.retry(request, failure, now)

    def _drop(
        self, message: Chunk | End | Refused, link: Link, now: Seconds, cause: str
    ) -> None:
        self._outbox.log(
            "answer_dropped",
            now=now,
            request_id=message.request_id,
            cause=cause,
            attempt=message.attempt,
            peer=link.peer.instance,
            message=type(message).__name__,
        )


def _find_response_failure(request: RequestState, end: End) -> Failure | None:
    """Returns the failure that a complete response amounts to, or None."""
    is_error = end.status >= _FIRST_ERROR_STATUS
    if end.model != request.model and (end.model or not is_error):
        return Failure(
            ErrorKind.WRONG_ADAPTER,
            f"the response came from {end.model!r} instead of {request.model!r}",
            end.run_state,
        )
    if is_error and request.is_started:
        return Failure(
            ErrorKind.BACKEND_FAILED,
            f"the backend server ended the stream with status {end.status}",
            end.run_state,
        )
    return None
