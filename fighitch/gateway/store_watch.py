"""Watches the objects of one kind in the platform's store."""

from collections.abc import Callable, Iterable
from typing import TypeVar

import msgspec

from fighitch.core.gateway.settings import Address
from fighitch.core.gateway.store_epoch import is_restored_copy
from fighitch.core.gateway.watch_timing import WatchOptions
from fighitch.gateway.store_calls import StoreCalls
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform import store
from fighitch.platform.requests import encode_call
from fighitch.runtime.event_loop import EventLoop, Timer
from fighitch.runtime.http_client import SerialClient
from fighitch.types import Seconds

_T = TypeVar("_T")


class UnreadableObjectError(Exception):
    """Raised by a callback that can't read an object and has logged it."""


_OK = 200
_GONE = 410
# Time that a slow store has to answer a call that does not wait.
_CALL_TIMEOUT: Seconds = 2.0
_WATCH_TIMEOUT_MARGIN: Seconds = 0.6
_INITIAL_RETRY_DELAY: Seconds = 0.1
# Failed calls are billed too, hence the back-off. The delay stays shorter until the
# first list succeeds: an entry without a copy of the objects can't serve requests.
_MAX_RETRY_DELAY: Seconds = 0.8
_MAX_RETRY_DELAY_WITHOUT_COPY: Seconds = 0.4
# Time after a restore within which other writers write again what the copy lacks.
_REWRITE_TIME: Seconds = 2.2
# Share of its wait after which a watch may end without news. An earlier empty response
# on a persistent connection may be a second copy of the one before.
_MIN_WAIT_SHARE = 0.5


class KindWatcher:
    """Reports changes of the objects of one kind, from a list and long-poll watches."""

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        options: WatchOptions,
        log: BoundedLog,
        *,
        on_change: Callable[[store.StoredObject], None],
        on_list: Callable[[Iterable[store.StoredObject]], None] | None = None,
        on_contact: Callable[[bool], None] | None = None,
        on_restored: Callable[[], None] | None = None,
        on_read: Callable[[Seconds], None] | None = None,
        on_regained: Callable[[], None] | None = None,
        calls: StoreCalls | None = None,
    ) -> None:
        """Initializes the watcher; ``start`` makes the first call.

        Args:
            loop: Event loop that runs the calls and timers.
            address: Address of the store.
            options: Kind and timing of the watch.
            log: Log for lost and regained contact with the store.
            on_change: Called with each changed object.
            on_list: Called with all objects after a list; if None, ``on_change`` is
                called with each of them.
            on_contact: Called after each valid response with whether the store had an
                outage since the one before.
            on_restored: Called before the first list after the store was restored from
                an older copy, which may lack objects and hold removed ones.
            on_read: Called after each successful call with the time at which it was
                sent, once the objects are passed on. They reflect the store at that
                time or later. It is not called while an object could not be read.
            on_regained: Called after the first successful call after a failed one.
            calls: Calls to the store, shared with its other clients; None for calls of
                this watcher alone.
        """
        self._loop = loop
        self._calls = calls or StoreCalls(loop, log)
        self._calls.add_listener(self._restart)
        self._client = SerialClient(loop, address)
        self._stopped = False
        self._options = options
        self._log = log
        self._on_list = on_list
        self._on_change = on_change
        self._on_contact = on_contact
        self._on_restored = on_restored
        self._on_read = on_read
        self._on_regained = on_regained
        self._is_waiting = False
        # Number of the last call; responses to earlier ones are ignored.
        self._call_number = 0
        self._next_call: Timer | None = None
        self._called_at: Seconds = float("-inf")
        # Time by which the store had sent its latest valid response.
        self._answered_at: Seconds = float("-inf")
        self._listed_at: Seconds = float("-inf")
        # Whether an object that could not be read may have changed since the last list.
        self._has_unread = False
        # Wait that the last call asked for.
        self._asked_wait: Seconds = 0.0
        # The same on a reused connection, on which an earlier empty response may be a
        # second copy; otherwise 0.
        self._wait: Seconds = 0.0
        self._may_reuse_connection = True
        self._restored_at: Seconds = float("-inf")
        self._revision = 0
        self._listed_objects: list[store.StoredObject] = []
        self._listed_after = ""
        self._first_page_revision = 0
        self._object_revisions: dict[str, int] = {}
        self._retry_delay = _INITIAL_RETRY_DELAY
        self._lost_since: Seconds | None = None
        self.last_contact: Seconds = float("-inf")

    def start(self) -> None:
        """Lists the objects, then watches them."""
        self._listed_objects = []
        self._list("")

    def is_current(self, now: Seconds) -> bool:
        """Returns whether the known objects are up to date.

        They are if contact is not lost and the last response is not older than the
        duration of one watch. A process that stood still reads responses long after the
        store sent them, so that the time of reading does not count. After a restore,
        changes that were acknowledged before may still have to be written again.
        """
        if now - self._restored_at < _REWRITE_TIME:
            return False
        max_age = self._options.wait + self._options.pause + _WATCH_TIMEOUT_MARGIN
        return self._lost_since is None and now - self._answered_at < max_age

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_since is not None

    def set_options(self, options: WatchOptions) -> None:
        """Changes the timing from the next call on."""
        self._options = options

    def recheck(self) -> None:
        """Repeats a watch that waits, in case its response was lost."""
        if self._stopped or not self._is_waiting:
            return
        self._is_waiting = False
        self._call_number += 1
        self._client.close()
        self._check()

    def stop(self) -> None:
        """Closes the connection and makes no further calls."""
        self._stopped = True
        self._calls.remove_listener(self._restart)
        self._client.close()

    def _restart(self) -> None:
        """Lists again, as the known revisions are of an earlier epoch."""
        self._restored_at = self._loop.now()
        self._call_number += 1
        self._is_waiting = False
        self._client.close()
        if self._next_call is not None:
            self._next_call.cancel()
        self.start()

    def _call(
        self,
        target: str,
        on_response: Callable[[int, bytes], None],
        timeout: Seconds,
        *,
        reuse_connection: bool = True,
    ) -> None:
        if self._stopped:
            return
        request = encode_call("GET", target, str(self._client.address))
        self._call_number += 1
        number = self._call_number
        self._called_at = self._loop.now()

        def on_current_response(status: int, body: bytes) -> None:
            if number == self._call_number:
                self._is_waiting = False
                on_response(status, body)

        self._calls.call(
            self._client,
            request,
            on_current_response,
            timeout=timeout,
            subject=self._options.kind,
            reuse_connection=reuse_connection,
        )

    def _list(self, after: str) -> None:
        self._listed_after = after
        if not after:
            self._listed_at = self._loop.now()
            self._has_unread = False
        self._asked_wait = 0.0
        target = store.list_target(self._options.kind, after)
        # The last page of an earlier list would count as the whole list.
        self._call(
            target,
            self._on_list_response,
            _CALL_TIMEOUT,
            reuse_connection=bool(after),
        )

    def _on_list_response(self, status: int, body: bytes) -> None:
        page = self._decode(status, body, store.decode_list)
        if page is None:
            self._retry_later(self.start, status)
            return
        if not self._listed_objects:
            self._first_page_revision = page.revision
        self._listed_objects += page.objects
        self._has_unread |= page.unreadable > 0
        last_name = page.objects[-1].name if page.objects else self._listed_after
        if page.has_more and last_name != self._listed_after:
            self._list(last_name)
            return
        # Later pages may be newer than the first. A watch from the revision of the
        # first page reports their changes again but misses none.
        self._revision = self._first_page_revision
        self._object_revisions = {
            item.name: item.revision for item in self._listed_objects
        }
        objects, self._listed_objects = self._listed_objects, []
        self._retry_delay = _INITIAL_RETRY_DELAY
        self._record_contact()
        self._record_epoch()
        if self._on_list is not None:
            self._deliver(self._on_list, objects, "list")
        else:
            for item in objects:
                self._deliver(self._on_change, item, item.name)
        # A page that says that others follow, but from which none can be requested.
        self._has_unread |= page.has_more
        self._record_read(self._listed_at)
        self._schedule_watch(0.0)

    def _schedule_watch(self, pause: Seconds) -> None:
        self._next_call = self._loop.call_later(pause, self._watch)

    def _watch(self) -> None:
        may_reuse, self._may_reuse_connection = self._may_reuse_connection, True
        self._request_changes(
            self._options.wait, self._on_watch_response, reuse_connection=may_reuse
        )
        self._is_waiting = True

    def _check(self) -> None:
        """Requests the changes without a wait.

        The store may cut off watches that wait while it serves all other calls.
        """
        self._request_changes(0.0, self._on_changes, reuse_connection=False)

    def _request_changes(
        self,
        wait: Seconds,
        on_response: Callable[[int, bytes], None],
        *,
        reuse_connection: bool,
    ) -> None:
        self._asked_wait = wait
        self._wait = wait if reuse_connection else 0.0
        target = store.watch_target(self._options.kind, self._revision, wait)
        self._call(
            target,
            on_response,
            max(wait + _WATCH_TIMEOUT_MARGIN, _CALL_TIMEOUT),
            reuse_connection=reuse_connection,
        )

    def _on_watch_response(self, status: int, body: bytes) -> None:
        if status == _OK:
            self._retry_delay = _INITIAL_RETRY_DELAY
        self._on_changes(status, body)

    def _on_changes(self, status: int, body: bytes) -> None:
        if status == _GONE:
            self._log.event("store_history_gone", kind=self._options.kind)
            self.start()
            return
        page = self._decode(status, body, store.decode_watch)
        if page is None:
            self._retry_later(self._check, status)
            return
        self._record_contact()
        had_unread = self._has_unread
        is_repeated = self._is_repeated(page)
        self._has_unread |= page.unreadable > 0
        self._revision = max(self._revision, page.revision)
        for item in page.objects:
            if item.revision < self._object_revisions.get(item.name, 0):
                continue
            self._object_revisions[item.name] = item.revision
            self._deliver(self._on_change, item, item.name)
        if had_unread and page.objects and self._on_read is not None:
            # Only a list shows whether all objects can be read again.
            self._next_call = self._loop.call_later(self._options.pause, self.start)
            return
        if is_repeated:
            self._may_reuse_connection = False
        else:
            self._record_read(self._called_at)
        self._schedule_watch(self._options.pause if page.objects else 0.0)

    def _deliver(self, callback: Callable[[_T], None], content: _T, name: str) -> None:
        """Passes on objects; an unexpected error must not end the watch."""
        try:
            callback(content)
        except UnreadableObjectError:
            self._has_unread = True
        except Exception as error:
            self._log.event(
                "store_object_failed",
                level="error",
                kind=self._options.kind,
                entry=name,
                detail=repr(error),
            )
            self._has_unread = True

    def _is_repeated(self, page: store.ObjectPage) -> bool:
        """Returns whether a response may be a second copy of the one before."""
        if self._loop.now() - self._called_at >= _MIN_WAIT_SHARE * self._wait:
            return False
        known = self._object_revisions
        return all(item.revision <= known.get(item.name, 0) for item in page.objects)

    def _record_read(self, sent_at: Seconds) -> None:
        if self._on_read is not None and not self._has_unread:
            self._on_read(sent_at)

    def _decode(
        self,
        status: int,
        body: bytes,
        decode: Callable[[bytes], store.ObjectPage],
    ) -> store.ObjectPage | None:
        if status != _OK:
            return None
        try:
            page = decode(body)
        except msgspec.DecodeError as error:
            self._log.event(
                "store_answer_unreadable", kind=self._options.kind, detail=error
            )
            # It may be a late copy of an earlier response; the right one would then be
            # taken for the response to the next call.
            self._client.close()
            return None
        if page.unreadable:
            self._log.event(
                "store_items_unreadable", kind=self._options.kind, count=page.unreadable
            )
        return page

    def _record_epoch(self) -> None:
        """Records the epoch of a list, all pages of which are of the same epoch."""
        previous, epoch = self._calls.record_listed(self._options.kind)
        if not is_restored_copy(previous, epoch):
            return
        self._restored_at = self._loop.now()
        self._log.event(
            "store_listed_again",
            kind=self._options.kind,
            epoch=epoch,
            previous=previous,
            revision=self._revision,
        )
        if self._on_restored is not None:
            self._on_restored()

    def _record_contact(self) -> None:
        now = self._loop.now()
        had_outage = self._calls.contact.had_outage_since(self.last_contact)
        self.last_contact = now
        latest = self._called_at + self._asked_wait + _WATCH_TIMEOUT_MARGIN
        self._answered_at = min(now, latest)
        lost_since, self._lost_since = self._lost_since, None
        if lost_since is not None:
            self._log.event(
                "store_regained",
                kind=self._options.kind,
                after=f"{now - lost_since:.3f}",
                outage=had_outage,
            )
        if self._on_contact is not None:
            self._on_contact(had_outage)
        if lost_since is not None and self._on_regained is not None:
            self._on_regained()

    def _retry_later(self, call: Callable[[], None], status: int) -> None:
        if self._lost_since is None:
            self._lost_since = self._loop.now()
            self._log.event("store_lost", kind=self._options.kind, status=status)
        # The back-off counts from the start of the call: a watch that was cut off after
        # a long wait is repeated soon.
        elapsed = self._loop.now() - self._called_at
        delay = max(_INITIAL_RETRY_DELAY, self._retry_delay - elapsed)
        self._next_call = self._loop.call_later(delay, call)
        has_copy = self.last_contact > float("-inf")
        max_delay = _MAX_RETRY_DELAY if has_copy else _MAX_RETRY_DELAY_WITHOUT_COPY
        self._retry_delay = min(max_delay, 2 * self._retry_delay)
