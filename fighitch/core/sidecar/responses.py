"""Sends responses to entries and handles ``Resume``."""

from fighitch.core.errors import ErrorKind, Failure, RunState
from fighitch.core.sidecar.ledger import Outcome
from fighitch.core.sidecar.outbox import Outbox
from fighitch.core.sidecar.streams import (
    ResponseInfo,
    ResponseStream,
    StreamKey,
    StreamTable,
    build_refused_message,
)
from fighitch.types import ConnectionId, Seconds


class ResponseSender:
    """Updates response streams and sends the resulting messages."""

    def __init__(self, streams: StreamTable, outbox: Outbox) -> None:
        self._streams = streams
        self._outbox = outbox

    @property
    def streams(self) -> StreamTable:
        """Live and recently ended streams."""
        return self._streams

    def send_data(self, stream: ResponseStream, data: bytes) -> None:
        """Sends part of a response."""
        for message in self._streams.add_data(stream, data):
            self._outbox.send(stream.connection, message)

    def send_end(
        self, stream: ResponseStream, info: ResponseInfo, *, now: Seconds
    ) -> None:
        """Sends the ``End`` message of a response."""
        self._outbox.send(stream.connection, stream.end(info, now))
        self._streams.mark_ended(stream)

    def replay(self, stream: ResponseStream, outcome: Outcome, *, now: Seconds) -> None:
        """Sends the stored response of an order."""
        stream.status = outcome.status
        self.send_data(stream, outcome.body)
        info = ResponseInfo(
            status=outcome.status,
            model=outcome.model,
            content_type=outcome.content_type,
            replayed=True,
        )
        self.send_end(stream, info, now=now)

    def refuse(self, stream: ResponseStream, failure: Failure, *, now: Seconds) -> None:
        """Sends a failure, which ends the attempt."""
        self._outbox.send(stream.connection, stream.refuse(failure, now))
        self._streams.mark_ended(stream)
        self._outbox.log(
            "refused",
            request_id=stream.key.request_id,
            cause=failure.detail,
            attempt=stream.key.attempt,
            kind=failure.kind.value,
            run_state=failure.run_state.value,
        )

    def resume(
        self, key: StreamKey, connection: ConnectionId, next_sequence: int
    ) -> ResponseStream | None:
        """Continues a response on a new connection of the same entry.

        Args:
            key: Key of the attempt.
            connection: New connection.
            next_sequence: First chunk that the entry is missing.

        Returns:
            The stream if it cannot be resumed and must be cancelled, else None.
        """
        stream = self._streams.get(key)
        missing = stream.messages_from(next_sequence) if stream else None
        if stream is None or missing is None:
            self._refuse_resume(key, connection, next_sequence)
            return stream
        self._streams.attach(stream, connection)
        for message in missing:
            self._outbox.send(connection, message)
        self._outbox.log(
            "resumed",
            request_id=key.request_id,
            cause="new connection of the entry",
            attempt=key.attempt,
            next_sequence=next_sequence,
        )
        return None

    def _refuse_resume(
        self, key: StreamKey, connection: ConnectionId, next_sequence: int
    ) -> None:
        failure = Failure(
            ErrorKind.INCOMPLETE_ANSWER,
            f"the chunks from {next_sequence} on are not retained; retry the request",
            RunState.UNKNOWN,
        )
        self._outbox.send(
            connection, build_refused_message(key.request_id, key.attempt, failure)
        )
        self._outbox.log(
            "resume_refused",
            request_id=key.request_id,
            cause=failure.detail,
            attempt=key.attempt,
        )
