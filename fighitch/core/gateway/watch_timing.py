"""Timing of an entry's watches of the platform's store.

Load pattern: many small entries watch the same kinds, so that the calls grow with the
number of entries times the kinds, while what they read is the same. Each call is
billed. With many entries, those that learn of a new adapter version tell all agents,
which enforce it, so that the others may learn of it later; and drains, which engines
report to their agents too, are read less often.
"""

from dataclasses import dataclass

from fighitch.types import Seconds

# With fewer entries, their calls are few beside those of the agents.
_FEW_ENTRIES = 16
# Pause between server watches, as a share of the drain notice. Every heartbeat of an
# engine changes its server object; the pause batches these changes into one call. The
# rest of the notice leaves time for a slow or repeated call.
_SERVERS_PAUSE_SHARE = 0.4
_SERVERS_PAUSE_SHARE_OF_MANY = 0.6
# Longest wait of a watch; each call is billed.
_WAIT: Seconds = 2.0
# Batches configurations written in quick succession; they must apply within 2 s.
_CONFIGURATION_PAUSE: Seconds = 0.25
_VERSIONS_PAUSE: Seconds = 0.5
_VERSIONS_WAIT: Seconds = 3.0
_VERSIONS_WAIT_OF_MANY: Seconds = 10.0
# Entries tell each other about quarantined prompts; the store is for later starts.
_QUARANTINES_WAIT: Seconds = 10.0


@dataclass(frozen=True, slots=True)
class WatchOptions:
    """Options for watching a kind.

    Attributes:
        kind: Kind of the objects.
        wait: Long-poll timeout of one watch call. A dead connection is detected after
            this time.
        pause: Delay before the next watch call after one that returned changes, to
            batch changes in quick succession.
    """

    kind: str
    wait: Seconds = 2.0
    pause: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class WatchTiming:
    """Waits and pauses of an entry's watches.

    Attributes:
        configuration_wait: Wait of a watch of the configuration.
        servers_wait: Wait of a watch of the servers.
        servers_pause: Pause after one with changes.
        versions_wait: Wait of a watch of adapter versions.
        configuration_pause: Pause after a new configuration.
        versions_pause: Pause after new versions.
        quarantines_wait: Wait of a watch of quarantined prompts.
    """

    configuration_wait: Seconds
    servers_wait: Seconds
    servers_pause: Seconds
    versions_wait: Seconds
    configuration_pause: Seconds = _CONFIGURATION_PAUSE
    versions_pause: Seconds = _VERSIONS_PAUSE
    quarantines_wait: Seconds = _QUARANTINES_WAIT


def watch_timing(
    *,
    entries: int,
    drain_notice: Seconds,
    max_watch: Seconds,
    max_configuration_watch: Seconds = float("inf"),
) -> WatchTiming:
    """Returns the timing of an entry's watches.

    Args:
        entries: Number of entries that watch the store.
        drain_notice: Time after the announcement of a server's drain in which requests
            may still reach it.
        max_watch: Longest wait after which a cut is not taken for an outage.
        max_configuration_watch: Longest wait that keeps the configuration recent enough
            for the keys of client accounts.
    """
    wait = min(_WAIT, max_watch)
    has_many = entries > _FEW_ENTRIES
    pause_share = _SERVERS_PAUSE_SHARE_OF_MANY if has_many else _SERVERS_PAUSE_SHARE
    return WatchTiming(
        configuration_wait=min(wait, max_configuration_watch),
        servers_wait=wait,
        servers_pause=pause_share * drain_notice,
        versions_wait=_VERSIONS_WAIT_OF_MANY if has_many else _VERSIONS_WAIT,
    )
