"""Calls to the platform's store, which record its epoch and its outages."""

from collections.abc import Callable

from fighitch.core.gateway.settings import DEFAULT_HEARTBEAT_INTERVAL
from fighitch.core.gateway.store_contact import StoreContact
from fighitch.core.gateway.store_epoch import EpochStatus, StoreEpoch
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.store import decode_epoch
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import NO_RESPONSE, ResponseCallback, SerialClient
from fighitch.runtime.http_exchange import ResponseHead
from fighitch.types import Seconds

# Responses of a store that is not available to this process: 429 and 503.
_REJECTIONS = frozenset((429, 503))


class StoreCalls:
    """Epoch and contact of one store, shared by all clients of a process."""

    def __init__(
        self,
        loop: EventLoop,
        log: BoundedLog,
        *,
        heartbeat_interval: Seconds = DEFAULT_HEARTBEAT_INTERVAL,
    ) -> None:
        """Initializes the calls to a store whose epoch is not known yet.

        Args:
            loop: Event loop of the clients.
            log: Log for changes of the epoch.
            heartbeat_interval: Time between the heartbeats of a server.
        """
        self._loop = loop
        self._log = log
        self.contact = StoreContact(heartbeat_interval)
        self._epoch = StoreEpoch()
        self._listeners: list[Callable[[], None]] = []
        # Epoch of the last complete list, by kind. It outlives the watcher of the kind.
        self._listed_epochs: dict[str, int | None] = {}

    @property
    def epoch(self) -> int | None:
        """Epoch of the store; None if it is not known."""
        return self._epoch.current

    def record_listed(self, kind: str) -> tuple[int | None, int | None]:
        """Records a complete list of a kind.

        Returns:
            The epoch of the previous list of the kind, None if there was none or if it
            was not known, and that of this list.
        """
        previous = self._listed_epochs.get(kind)
        self._listed_epochs[kind] = self.epoch
        return previous, self.epoch

    def add_listener(self, on_restored: Callable[[], None]) -> None:
        """Calls a function whenever the store has been restored."""
        self._listeners.append(on_restored)

    def remove_listener(self, on_restored: Callable[[], None]) -> None:
        """Removes a function that was added before."""
        if on_restored in self._listeners:
            self._listeners.remove(on_restored)

    def call(
        self,
        client: SerialClient,
        request: bytes,
        on_response: ResponseCallback,
        *,
        timeout: Seconds,
        subject: str,
        reuse_connection: bool = True,
    ) -> None:
        """Sends a request to the store.

        A response from before the last restore counts as no response: what it lists or
        acknowledges may be lost.

        Args:
            client: Client that sends the request.
            request: The encoded request, head and body.
            on_response: Called once with status and body.
            timeout: Longest time until the response is complete.
            subject: Kind that the request concerns, for the log.
            reuse_connection: Whether a persistent connection may be used.
        """
        epoch: int | None = None

        def on_head(head: ResponseHead) -> None:
            nonlocal epoch
            epoch = decode_epoch(head)

        def on_end(status: int, body: bytes) -> None:
            is_outdated = self._record(epoch, subject) is EpochStatus.OUTDATED
            if is_outdated or status == NO_RESPONSE or status in _REJECTIONS:
                self.contact.record_failure()
            else:
                self.contact.record_response(self._loop.now())
            if is_outdated:
                client.close()
                on_response(NO_RESPONSE, b"")
                return
            on_response(status, body)

        client.call(
            request,
            on_end,
            timeout=timeout,
            reuse_connection=reuse_connection,
            on_head=on_head,
        )

    def _record(self, epoch: int | None, subject: str) -> EpochStatus:
        previous = self._epoch.current
        status = self._epoch.record(epoch, self._loop.now())
        if status is EpochStatus.CURRENT:
            return status
        self._log.event(
            "store_epoch",
            status=status.value,
            epoch=epoch,
            previous=previous,
            kind=subject,
        )
        if status is EpochStatus.RESTORED:
            for listener in list(self._listeners):
                listener()
        return status
