"""Registers an entry in the platform's store and counts the other ones."""

import random
from collections.abc import Callable, Iterable

from fighitch.core.gateway.entry_count import (
    EntryCount,
    EntryReports,
    settling_time,
    watch_pause,
)
from fighitch.core.gateway.settings import Address
from fighitch.core.gateway.watch_timing import WatchOptions
from fighitch.gateway.store_calls import StoreCalls
from fighitch.gateway.store_watch import KindWatcher
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform import store
from fighitch.platform.entries import ENTRIES_KIND, encode_entry
from fighitch.platform.requests import encode_call
from fighitch.runtime.event_loop import EventLoop
from fighitch.runtime.http_client import SerialClient
from fighitch.types import Seconds

_CREATED_STATUSES = (200, 201)
_DELETED_STATUSES = (200, 204, 404)
_CONFLICT = 409
_TIMEOUT: Seconds = 0.8
# Each call is billed, hence the back-off.
_MIN_RETRY_DELAY: Seconds = 0.5
_MAX_RETRY_DELAY: Seconds = 30.0
# Entries write again what a restore of the store has lost, not all at the same time.
_MAX_REWRITE_DELAY: Seconds = 1.0
# Three calls a minute without changes.
_WAIT: Seconds = 20.0
# At most one deletion of another entry's object in this time.
_DELETE_INTERVAL: Seconds = 10.0


class EntryRegistry:
    """Keeps the object of an entry and records the number of objects.

    It makes no call before it is started.
    """

    def __init__(
        self,
        loop: EventLoop,
        store_address: Address,
        log: BoundedLog,
        *,
        entry: str,
        entries: EntryCount,
        calls: StoreCalls,
    ) -> None:
        """Initializes the registry.

        Args:
            loop: Event loop that runs the calls.
            store_address: Address of the platform's store.
            log: Log for registrations and deletions.
            entry: Name of this entry.
            entries: Where the number of entries is recorded.
            calls: Calls to the store, shared with its other clients.
        """
        self._loop = loop
        self._log = log
        self._entry = entry
        self._entries = entries
        self._reports = EntryReports(entry)
        self._client = SerialClient(loop, store_address)
        self._calls = calls
        self._watcher: KindWatcher | None = None
        self._is_started = self._is_stopped = self._is_calling = False
        self._has_failed = False
        self._has_list = False
        self._call_not_before: Seconds = 0.0
        self._retry_delay = _MIN_RETRY_DELAY
        self._deleted_at: Seconds = float("-inf")
        # Time from which the number counts; None until the object is known to exist.
        self._settled_at: Seconds | None = None

    def connect(self, store_address: Address, calls: StoreCalls) -> None:
        """Uses another address of the store, which may lack the objects."""
        self._client.close()
        self._client = SerialClient(self._loop, store_address)
        self._calls = calls
        self._is_calling = False
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher = None
            self._watch()

    def record_reported(self, names: Iterable[str]) -> None:
        """Records the entries that an agent reports to be connected."""
        self._reports.record_reported(names, self._loop.now())

    def run_housekeeping(self, *, is_needed: bool) -> None:
        """Writes the object if it is missing and updates the number of entries.

        Args:
            is_needed: Whether any account has a quota. Once it was needed, the entry
                stays registered until it stops.
        """
        self._is_started |= is_needed
        if not self._is_started or self._is_stopped:
            return
        now = self._loop.now()
        self._record_count(now)
        if self._is_calling or now < self._call_not_before:
            return
        if not self._reports.has_own:
            self._register()
        elif now - self._deleted_at >= _DELETE_INTERVAL:
            for name in self._reports.gone(now)[:1]:
                self._deleted_at = now
                self._delete(name)

    def stop(self) -> None:
        """Deletes the object of the entry, which stops as planned."""
        if self._is_stopped:
            return
        self._is_stopped = True
        if self._watcher is not None:
            self._watcher.stop()
        if self._is_started:
            self._delete(self._entry)

    def _record_count(self, now: Seconds) -> None:
        if not self._has_list:
            return
        is_settled = self._settled_at is not None and now >= self._settled_at
        was_known = self._entries.is_known
        self._entries.record_stored(self._reports.count, now, is_settled=is_settled)
        if self._entries.is_known and not was_known:
            self._log.event("entries_known", entries=self._reports.count)

    def _register(self) -> None:
        body = store.encode_object(self._entry, encode_entry(), revision=None)
        self._call("POST", store.list_target(ENTRIES_KIND), body, self._on_registered)

    def _on_registered(self, status: int) -> None:
        now = self._loop.now()
        if status not in (*_CREATED_STATUSES, _CONFLICT):
            self._has_failed = True
            self._call_not_before = now + self._retry_delay
            self._retry_delay = min(_MAX_RETRY_DELAY, 2 * self._retry_delay)
            self._log.event("entry_not_registered", status=status)
        else:
            self._retry_delay = _MIN_RETRY_DELAY
            self._reports.add_stored(self._entry, now)
            if self._settled_at is None:
                # An object of an earlier process is known to the other entries; that
                # of an earlier attempt may be new.
                is_new = status != _CONFLICT or self._has_failed
                delay = settling_time(self._reports.count) if is_new else 0.0
                self._settled_at = now + delay
            self._log.event("entry_registered", status=status)
        if self._watcher is None:
            # The list contains all entries that were registered before this one.
            self._watch()

    def _delete(self, name: str) -> None:
        def on_end(status: int) -> None:
            if status in _DELETED_STATUSES:
                self._reports.remove_stored(name)
            self._log.event("entry_deleted", entry=name, status=status)

        self._call("DELETE", store.object_target(ENTRIES_KIND, name), b"", on_end)

    def _call(
        self, method: str, target: str, body: bytes, on_end: Callable[[int], None]
    ) -> None:
        self._is_calling = True
        calls = self._calls

        def on_response(status: int, _body: bytes) -> None:
            if calls is self._calls:
                self._is_calling = False
                on_end(status)

        calls.call(
            self._client,
            encode_call(method, target, str(self._client.address), body),
            on_response,
            timeout=_TIMEOUT,
            subject=ENTRIES_KIND,
            # The response to an earlier call must not count as that to this one.
            reuse_connection=False,
        )

    # The watch.

    def _options(self) -> WatchOptions:
        pause = watch_pause(self._reports.count)
        return WatchOptions(ENTRIES_KIND, wait=_WAIT, pause=pause)

    def _watch(self) -> None:
        if self._is_stopped:
            return
        self._watcher = KindWatcher(
            self._loop,
            self._client.address,
            self._options(),
            self._log,
            on_list=self._on_list,
            on_change=self._on_change,
            calls=self._calls,
        )
        self._watcher.start()

    def _on_list(self, objects: Iterable[store.StoredObject]) -> None:
        names = [item.name for item in objects]
        self._reports.replace_stored(names, self._loop.now())
        if not self._has_list and self._settled_at is not None:
            # A new entry among many waits until their longer pauses are over.
            now = self._loop.now()
            if self._settled_at > now:
                self._settled_at = now + settling_time(self._reports.count)
        self._has_list = True
        self._apply()

    def _on_change(self, item: store.StoredObject) -> None:
        if item.removed:
            self._reports.remove_stored(item.name)
        else:
            self._reports.add_stored(item.name, self._loop.now())
        self._apply()

    def _apply(self) -> None:
        now = self._loop.now()
        if self._watcher is not None:
            self._watcher.set_options(self._options())
        self._record_count(now)
        if not self._reports.has_own:
            delay = random.uniform(0.0, _MAX_REWRITE_DELAY)
            self._call_not_before = max(self._call_not_before, now + delay)
