"""CONFIG: entries stand still while they read one entry of another writer."""

import itertools
import threading
import time
from pathlib import Path

import msgspec

from review.support import (
    BROKEN,
    HELD,
    Fleet,
    Record,
    has_trouble,
    run_case,
)

TIMEOUT_SECONDS = 1.0
SLACK_SECONDS = 0.5
SENDERS = 20
INTERVAL = 0.2
WRITTEN_AT = 3.0
SECONDS = 12.0
# Below ``ValueBytes``, 1,048,576 bytes for an object.
LEVELS = 170_000
ORDER = {"TargetLatencyMs": 400, "TimeoutMs": 1_000}


def main() -> int:
    """Plays the case."""
    record = Record(Path(__file__).parent)
    fleet = Fleet(engines=2, entries=2)
    for server in fleet.plain_servers:
        server.response_delay = 0.045
    try:
        fleet.start()
        fleet.put_configuration(order=ORDER)
        return play(fleet, record)
    finally:
        fleet.stop()


def play(fleet: Fleet, record: Record) -> int:
    """Sends orders while another writer writes an entry that names no server."""
    time.sleep(2.0)
    is_over = threading.Event()
    waits: list[tuple[str, float, int, float]] = []
    senders = [
        threading.Thread(target=send_all, args=(fleet, number, waits, is_over))
        for number in range(SENDERS)
    ]
    for sender in senders:
        sender.start()
    time.sleep(WRITTEN_AT)
    if has_trouble():
        spec = msgspec.Raw(b'{"a":' * LEVELS + b"1" + b"}" * LEVELS)
        fleet.store.put("servers", "of-another-writer", spec)
        record.add(f"an entry of {len(bytes(spec))} bytes is written")
    time.sleep(SECONDS)
    is_over.set()
    for sender in senders:
        sender.join()
    return judge(record, waits)


def send_all(
    fleet: Fleet,
    sender: int,
    waits: list[tuple[str, float, int, float]],
    is_over: threading.Event,
) -> None:
    """Sends orders, one after the other, and notes how long each waits."""
    for number in itertools.count():
        if is_over.wait(INTERVAL):
            return
        name = f"order-{sender}-{number}"
        sent_at = time.monotonic()
        answer = fleet.send_request(
            "order", name, entry=sender % 2, timeout=20.0, Deadline_Ms="4000"
        )
        waits.append((name, sent_at, answer.status, time.monotonic() - sent_at))


def judge(record: Record, waits: list[tuple[str, float, int, float]]) -> int:
    """Counts the requests without a final answer at and after the timeout."""
    at_timeout = [item for item in waits if item[3] > TIMEOUT_SECONDS]
    later = [item for item in waits if item[3] > TIMEOUT_SECONDS + SLACK_SECONDS]
    for name, sent_at, status, wait in waits:
        if wait > TIMEOUT_SECONDS:
            record.add(f"{name} sent; answered {status} after {wait:.3f} s", sent_at)
    record.add(f"{len(waits)} orders sent")
    print(
        f"CONFIG: of {len(at_timeout)} requests without an answer at TimeoutMs,"
        f" {len(later)} had none half a second later"
    )
    is_broken = len(later) >= 8 and 2 * len(later) > len(at_timeout)
    return BROKEN if is_broken else HELD


if __name__ == "__main__":
    run_case(main)
