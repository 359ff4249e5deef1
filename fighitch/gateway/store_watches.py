"""The watches of the platform's store that an entry keeps."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from fighitch.core.gateway.settings import InstanceSettings
from fighitch.core.gateway.watch_timing import WatchOptions, WatchTiming, watch_timing
from fighitch.gateway.part_quarantine import PartQuarantine
from fighitch.gateway.store_calls import StoreCalls
from fighitch.gateway.store_watch import KindWatcher
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.configuration import CONFIGURATION_KIND, VERSIONS_KIND
from fighitch.platform.engine import SERVERS_KIND
from fighitch.platform.quarantine import QUARANTINE_KIND
from fighitch.platform.store import StoredObject
from fighitch.runtime.event_loop import EventLoop
from fighitch.types import Seconds


@dataclass(frozen=True, slots=True)
class WatchHandlers:
    """What an entry does with the objects that it watches.

    Attributes:
        on_configuration: Called with each object of the kind of configurations.
        on_configuration_read: Called with the time at which a call was sent that read
            the configuration in force.
        on_server_list: Called with all server objects after a list.
        on_server_change: Called with each changed server object.
        on_contact: Called after each response with whether the store had an outage.
        on_servers_restored: Called before a list of a restored store.
        on_version: Called with each announcement of an adapter version.
    """

    on_configuration: Callable[[StoredObject], None]
    on_configuration_read: Callable[[Seconds], None]
    on_server_list: Callable[[Iterable[StoredObject]], None]
    on_server_change: Callable[[StoredObject], None]
    on_contact: Callable[[bool], None]
    on_servers_restored: Callable[[], None]
    on_version: Callable[[StoredObject], None]


class StoreWatches:
    """Watches of the configuration, the servers, the versions and the quarantines."""

    def __init__(
        self,
        loop: EventLoop,
        log: BoundedLog,
        quarantine: PartQuarantine,
        handlers: WatchHandlers,
    ) -> None:
        self._loop = loop
        self._log = log
        # Callbacks of the watcher of each kind, by the names of its arguments.
        self._callbacks: dict[str, dict[str, Callable[..., None]]] = {
            CONFIGURATION_KIND: {
                "on_change": handlers.on_configuration,
                "on_read": handlers.on_configuration_read,
            },
            SERVERS_KIND: {
                "on_list": handlers.on_server_list,
                "on_change": handlers.on_server_change,
                "on_contact": handlers.on_contact,
                "on_restored": handlers.on_servers_restored,
            },
            VERSIONS_KIND: {"on_change": handlers.on_version},
            QUARANTINE_KIND: {
                "on_list": quarantine.on_stored_list,
                "on_change": quarantine.on_stored_change,
                "on_restored": quarantine.on_store_restored,
            },
        }
        self._timing: WatchTiming | None = None
        self._timing_settings: tuple[Seconds | None, ...] = ()
        self._watchers: dict[str, KindWatcher] = {}

    @property
    def are_servers_lost(self) -> bool:
        """Whether the last call for the servers failed."""
        return self._watchers[SERVERS_KIND].is_lost

    def is_configuration_current(self, now: Seconds) -> bool:
        """Returns whether the known configuration is up to date."""
        return self._watchers[CONFIGURATION_KIND].is_current(now)

    def update(
        self,
        settings: InstanceSettings,
        calls: StoreCalls,
        *,
        entries: int,
        max_configuration_watch: Seconds,
        is_new_store: bool = False,
    ) -> None:
        """Starts the watches, or applies changed settings and numbers of entries.

        Changed settings restart the watches, as a present wait or pause may be too long
        for them. A changed number of entries counts from the next calls on.

        Args:
            settings: Settings of the instance.
            calls: Calls to the store.
            entries: Number of entries that watch the store.
            max_configuration_watch: Longest wait of a watch of the configuration.
            is_new_store: Whether another store takes the place of the present one.
        """
        timing = watch_timing(
            entries=entries,
            drain_notice=settings.drain_notice,
            max_watch=calls.contact.max_watch,
            max_configuration_watch=max_configuration_watch,
        )
        timing_settings = (
            settings.drain_notice,
            settings.heartbeat_interval,
            settings.revoke_within,
        )
        must_start = is_new_store or timing_settings != self._timing_settings
        self._timing_settings = timing_settings
        if not must_start and timing == self._timing:
            return
        self._timing = timing
        if not must_start:
            for options in _options(timing):
                self._watchers[options.kind].set_options(options)
            return
        for watcher in self._watchers.values():
            watcher.stop()
        self._watchers = {
            options.kind: self._create(options, settings, calls)
            for options in _options(timing)
        }
        for watcher in self._watchers.values():
            watcher.start()

    def _create(
        self, options: WatchOptions, settings: InstanceSettings, calls: StoreCalls
    ) -> KindWatcher:
        return KindWatcher(
            self._loop,
            settings.store,
            options,
            self._log,
            on_regained=self._recheck,
            calls=calls,
            **self._callbacks[options.kind],
        )

    def _recheck(self) -> None:
        """Repeats the watch of versions, whose response may have been lost too.

        It waits longest where there are many entries.
        """
        self._watchers[VERSIONS_KIND].recheck()


def _options(timing: WatchTiming) -> tuple[WatchOptions, ...]:
    return (
        WatchOptions(
            CONFIGURATION_KIND,
            wait=timing.configuration_wait,
            pause=timing.configuration_pause,
        ),
        WatchOptions(
            SERVERS_KIND, wait=timing.servers_wait, pause=timing.servers_pause
        ),
        WatchOptions(
            VERSIONS_KIND, wait=timing.versions_wait, pause=timing.versions_pause
        ),
        WatchOptions(QUARANTINE_KIND, wait=timing.quarantines_wait),
    )
