"""Verification of what sidecars answer, before any of it reaches a caller."""

from functools import singledispatchmethod

from fighitch.core.entry.assembly import ChunkState, ResponseAssembly
from fighitch.core.entry.connections import Link
from fighitch.core.entry.dispatch import Dispatcher
from fighitch.core.entry.membership import Members
from fighitch.core.entry.orders import Orders
from fighitch.core.entry.outbox import Outbox
from fighitch.core.entry.replies import Replies
from fighitch.core.entry.request_state import Phase, RequestState, WorkTable
from fighitch.core.entry.routing import Router
from fighitch.core.entry.settings import EntrySettings
from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.messages import Chunk, End, Refused
from fighitch.types import Seconds

_MILLISECONDS = 1_000
_OK = 200
_FIRST_ERROR_STATUS = 400


class Answers:
    """Handles ``Chunk``, ``End`` and ``Refused``."""

    def __init__(
        self,
        *,
        works: WorkTable,
        members: Members,
        router: Router,
        dispatcher: Dispatcher,
        orders: Orders,
        replies: Replies,
        outbox: Outbox,
        settings: EntrySettings,
    ) -> None:
        self._works = works
        self._members = members
        self._router = router
        self._dispatcher = dispatcher
        self._orders = orders
        self._replies = replies
        self._outbox = outbox
        self._settings = settings
        # Each access to a singledispatchmethod builds a new function.
        self._receive_message = self._receive

    def receive(self, message: Chunk | End | Refused, link: Link, now: Seconds) -> None:
        """Handles a message if it belongs to a current attempt, else drops it."""
        work = self._works.get(message.request_id)
        if work is None:
            cause = "unknown or answered request"
        elif message.attempt != work.attempt:
            cause = "another attempt"
        elif work.phase is not Phase.RUNNING or work.connection != link.connection:
            cause = "another connection"
        else:
            self._receive_message(message, work, link, now)
            return
        self._drop(message, link, now, cause)

    @singledispatchmethod
    def _receive(
        self, message: object, work: RequestState, link: Link, now: Seconds
    ) -> None:
        raise TypeError(f"{type(message).__name__} is not an answer")

    @_receive.register
    def _(self, message: Chunk, work: RequestState, link: Link, now: Seconds) -> None:
        state = work.assembly.accept(message)
        if state is ChunkState.DUPLICATE:
            self._drop(message, link, now, "duplicate chunk")
        elif state is ChunkState.GAP:
            self._drop(message, link, now, "gap in the sequence")
            expected = work.assembly.next_sequence
            self._incomplete(
                work,
                link,
                now,
                f"chunk {message.sequence} arrived instead of chunk {expected}",
            )
        elif work.request.streamed and message.status == _OK:
            self._replies.data(work, message)

    @_receive.register
    def _(self, message: End, work: RequestState, link: Link, now: Seconds) -> None:
        mismatch = work.assembly.mismatch(message)
        if mismatch and work.assembly.is_missing_chunks(message):
            self._incomplete(work, link, now, mismatch)
            return
        if mismatch:
            self._corrupted(work, link, now, mismatch, message.run_state)
            return
        failure = _find_response_failure(work, message)
        if failure is not None:
            self._end_badly(work, failure, now)
            return
        self._dispatcher.unbind(work, now)
        self._replies.end(work, message, now)

    @_receive.register
    def _(self, message: Refused, work: RequestState, link: Link, now: Seconds) -> None:
        run_state = message.run_state
        if work.is_resumed and run_state is RunState.NOT_RUN:
            # The sidecar may not have read yet what was sent on the old connection.
            run_state = RunState.UNKNOWN
        failure = Failure(
            message.kind,
            message.detail,
            run_state,
            message.retry_after / _MILLISECONDS if message.retry_after else None,
        )
        self._outbox.log(
            "request_refused",
            now=now,
            request_id=work.request_id,
            cause=message.detail,
            member=work.member,
            kind=message.kind.value,
            run_state=message.run_state.value,
        )
        self._remember(message, work, now)
        self._end_badly(work, failure, now)

    def _remember(self, message: Refused, work: RequestState, now: Seconds) -> None:
        member = self._members.get(work.member)
        if member is None:
            return
        if message.kind is ErrorKind.DRAINING:
            self._members.leaving(member)
        if message.kind is ErrorKind.OVERLOADED and message.retry_after:
            self._router.refused(
                member,
                rank=work.rank,
                now=now,
                retry_after=message.retry_after / _MILLISECONDS,
            )

    def _incomplete(
        self, work: RequestState, link: Link, now: Seconds, detail: str
    ) -> None:
        """Handles an answer that lacks chunks."""
        if work.resumed_from == work.assembly.next_sequence:
            # The missing chunks were asked for; these were sent before that.
            return
        self._ask_again(work, link, now, detail, RunState.UNKNOWN)

    def _corrupted(
        self,
        work: RequestState,
        link: Link,
        now: Seconds,
        detail: str,
        run_state: RunState,
    ) -> None:
        """Handles an answer that has all its chunks but differs from its end."""
        if work.is_started:
            failure = Failure(ErrorKind.INCOMPLETE_ANSWER, detail, run_state)
            self._end_badly(work, failure, now)
            return
        work.assembly = ResponseAssembly(keeps_data=not work.request.streamed)
        self._ask_again(work, link, now, detail, run_state)

    def _ask_again(
        self,
        work: RequestState,
        link: Link,
        now: Seconds,
        detail: str,
        run_state: RunState,
    ) -> None:
        failure = Failure(ErrorKind.INCOMPLETE_ANSWER, detail, run_state)
        if work.order is None and not work.is_started:
            self._dispatcher.unbind(work, now, cancel=True)
            self._dispatcher.retry(work, failure, now)
        elif work.resumes < self._settings.max_resumes:
            work.resumes += 1
            self._dispatcher.resume(work, link, now, cause=detail)
        else:
            self._end_badly(work, failure, now)

    def _end_badly(self, work: RequestState, failure: Failure, now: Seconds) -> None:
        if work.order is not None:
            self._orders.attempt_failed(work, failure, now)
            return
        self._dispatcher.retry(work, failure, now)

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


def _find_response_failure(work: RequestState, end: End) -> Failure | None:
    """Returns why a complete answer must not be passed on, or None."""
    is_error = end.status >= _FIRST_ERROR_STATUS
    if end.model != work.model and (end.model or not is_error):
        return Failure(
            ErrorKind.WRONG_ADAPTER,
            f"the answer came from {end.model!r} instead of {work.model!r}",
            end.run_state,
        )
    if is_error and work.is_started:
        return Failure(
            ErrorKind.BACKEND_FAILED,
            f"the backend server ended the stream with status {end.status}",
            end.run_state,
        )
    return None
