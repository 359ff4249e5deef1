"""Receives the response of one attempt of a relayed request."""

from typing import Protocol

from fighitch.runtime.http_exchange import (
    ExchangeFailure,
    ResponseHandler,
    ResponseHead,
)


class AttemptHandler(ResponseHandler, Protocol):
    """Handles the responses of its attempts, of which one at a time is current."""

    def is_current(self, exchange: int) -> bool:
        """Returns whether the response of an attempt is still expected."""


class AttemptReceiver:
    """Passes the response of one attempt to the relay while the attempt is current."""

    def __init__(self, relay: AttemptHandler, number: int) -> None:
        self._relay = relay
        self._number = number

    def on_head(self, head: ResponseHead) -> None:
        """Handles the head of the response."""
        if self._relay.is_current(self._number):
            self._relay.on_head(head)

    def on_body(self, data: bytes) -> None:
        """Handles a chunk of the response body."""
        if self._relay.is_current(self._number):
            self._relay.on_body(data)

    def on_complete(self) -> None:
        """Handles the end of the response."""
        if self._relay.is_current(self._number):
            self._relay.on_complete()

    def on_failure(self, failure: ExchangeFailure) -> None:
        """Handles a failed exchange."""
        if self._relay.is_current(self._number):
            self._relay.on_failure(failure)
