"""DRAIN: a server leaves while the store cuts off watches that wait."""

import itertools
import threading
import time
from pathlib import Path
from typing import Any

from review.support import (
    BROKEN,
    HELD,
    Fleet,
    Record,
    has_trouble,
    run_case,
)
from standins.platform_backends import PlatformBackend
from standins.platform_store import PlatformStore

DRAIN_SECONDS = 2.0
# Watches are cut off once they have waited for this long; they ask for 2 s.
CUT_AFTER = 1.0
# The server that leaves goes on serving for this long, which is allowed.
LINGER_SECONDS = 8.0
SENDERS = 8
INTERVAL = 0.08


class CuttingStore(PlatformStore):
    """A store that closes the connections of waiting watches."""

    cuts = 0
    cut_after = 0.0

    def _watch(self, connection: Any, kind: str, since: int, wait: float) -> None:
        super()._watch(connection, kind, since, wait)
        watch = next((w for w in self._watches if w.connection is connection), None)
        if watch is not None and self.cut_after:
            self.loop.call_later(self.cut_after, lambda: self._cut(watch))

    def _cut(self, watch: Any) -> None:
        if watch in self._watches:
            watch.done = True
            self._watches.remove(watch)
            self.cuts += 1
            watch.connection.close()


def main() -> int:
    """Plays the case."""
    record = Record(Path(__file__).parent)
    fleet = Fleet(engines=2, entries=2)
    store = CuttingStore(fleet.store.host)
    fleet.store = store
    while len(fleet.plain_servers) < 4:
        number = len(fleet.plain_servers)
        host = fleet.plain_servers[0].host.rpartition(".")[0]
        fleet.plain_servers.append(
            PlatformBackend(f"plain-{number}", "orders", f"{host}.{30 + number}")
        )
    for server in fleet.plain_servers:
        server.response_delay = 0.045
    try:
        fleet.start()
        return play(fleet, store, record)
    finally:
        fleet.stop()


def play(fleet: Fleet, store: CuttingStore, record: Record) -> int:
    """Sends orders and lookups while a server leaves without a notice."""
    time.sleep(2.0)
    if has_trouble():
        store.cut_after = CUT_AFTER
    is_over = threading.Event()
    senders = [
        threading.Thread(target=send_all, args=(fleet, record, number, is_over))
        for number in range(SENDERS)
    ]
    for sender in senders:
        sender.start()
    time.sleep(4.0)
    leaver = fleet.plain_servers[3]
    fleet.gone.add(leaver.instance_id)
    store.remove("servers", leaver.instance_id)
    acked = time.monotonic()
    record.add(f"{leaver.instance_id}: its entry is removed", acked)
    time.sleep(LINGER_SECONDS)
    leaver.call(leaver.stop_listening)
    leaver.stop()
    record.add(f"{leaver.instance_id} ends")
    time.sleep(2.0)
    is_over.set()
    for sender in senders:
        sender.join()
    record.add(f"the store has cut off {store.cuts} watches")
    late = [item for item in leaver.received if item.at - acked > DRAIN_SECONDS]
    for item in leaver.received:
        if item.at >= acked:
            record.add(
                f"{item.request_id} reached {leaver.instance_id}"
                f" {item.at - acked:.3f} s after the acknowledgement",
                item.at,
            )
    print(f"DRAIN: {len(late)} requests reached the server over 2 s after it was gone")
    return BROKEN if late else HELD


def send_all(
    fleet: Fleet, record: Record, sender: int, is_over: threading.Event
) -> None:
    """Sends requests, one after the other."""
    for number in itertools.count():
        if is_over.wait(INTERVAL):
            return
        route = "order" if number % 2 else "lookup"
        name = f"{route}-{sender}-{number}"
        sent_at = time.monotonic()
        answer = fleet.send_request(
            route, name, entry=sender % 2, timeout=3.0, Deadline_Ms="1000"
        )
        record.add(f"{name} sent", sent_at)
        if answer.status != 200 or not answer.complete:
            record.add(f"{name} answered {answer.status}, complete {answer.complete}")


if __name__ == "__main__":
    run_case(main)
