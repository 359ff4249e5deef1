"""Calls whose whole answer fits into memory, one at a time on one connection."""

from collections.abc import Callable

from fighitch.core.gateway.settings import Address
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    FailureKind,
    HttpConnection,
    ResponseHead,
)
from fighitch.types import Seconds

# Status that stands for "no answer".
NO_RESPONSE = 0

OnAnswer = Callable[[int, bytes], None]


class _WholeAnswer:
    """Collects one answer."""

    def __init__(self, loop: EventLoop, timeout: Seconds, on_answer: OnAnswer) -> None:
        self._on_answer: OnAnswer | None = on_answer
        self._status = NO_RESPONSE
        self._body = bytearray()
        self._timer = loop.call_later(timeout, self._time_out)
        self.connection: HttpConnection | None = None

    def on_head(self, head: ResponseHead) -> None:
        """Takes the head."""
        self._status = head.status

    def on_body(self, data: bytes) -> None:
        """Takes a piece of the body."""
        self._body += data

    def on_complete(self) -> None:
        """Passes the answer on."""
        self._end(self._status)

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Passes on that there is no answer."""
        self._end(NO_RESPONSE)

    def _time_out(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.on_failure(ExchangeFailure(FailureKind.TIMEOUT, sent=True))

    def _end(self, status: int) -> None:
        on_answer, self._on_answer = self._on_answer, None
        self._timer.cancel()
        if on_answer is not None:
            on_answer(status, bytes(self._body))


class SerialClient:
    """Makes calls to one server."""

    def __init__(self, loop: EventLoop, address: Address) -> None:
        self._loop = loop
        self._address = address
        self._connection: HttpConnection | None = None

    @property
    def address(self) -> Address:
        """Address of the server."""
        return self._address

    def call(self, request: bytes, on_answer: OnAnswer, *, timeout: Seconds) -> None:
        """Makes a call.

        Args:
            request: The whole request.
            on_answer: Called once with status and body; ``NO_RESPONSE`` as status if
                none came in time, in which case the call may have taken effect.
            timeout: Longest time to the whole answer.
        """
        connection = self._connection
        if connection is None or not connection.usable():
            if connection is not None:
                connection.close()
            connection = HttpConnection(
                self._loop, self._address.host, self._address.port
            )
            self._connection = connection
        receiver = _WholeAnswer(self._loop, timeout, on_answer)
        receiver.connection = connection
        connection.send(request, receiver)

    def close(self) -> None:
        """Closes the connection; a call under way gets no answer."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
