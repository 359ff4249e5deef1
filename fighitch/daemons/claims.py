"""Calls to the object API that bind caller-chosen keys to tickets."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.claims import ClaimResult
from fighitch.core.effects import CreateClaim, ReadClaim
from fighitch.core.inputs import ClaimAnswered, ClaimStatus
from fighitch.types import Seconds

WORKERS = 8
# Urgent orders wait for this call, so a slow object API is given up early.
TIMEOUT: Seconds = 1.0


class Claims:
    """Runs claim calls on a small pool; each thread has a client of its own."""

    def __init__(self, url: str, *, on_answer: Callable[[ClaimAnswered], None]) -> None:
        """Prepares the pool.

        Args:
            url: Base URL of the object API; empty answers every call as unavailable.
            on_answer: Takes the answers.
        """
        self._url = url
        self._on_answer = on_answer
        self._executor = ThreadPoolExecutor(WORKERS, thread_name_prefix="claims")
        self._local = threading.local()

    def submit(self, effect: CreateClaim | ReadClaim) -> None:
        """Starts a call."""
        self._executor.submit(self._run, effect)

    def stop(self) -> None:
        """Ends the pool; calls that wait are dropped."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, effect: CreateClaim | ReadClaim) -> None:
        answer = self._call(effect)
        self._on_answer(
            ClaimAnswered(effect.request_id, effect.name, answer.status, answer.ticket)
        )

    def _call(self, effect: CreateClaim | ReadClaim) -> ClaimResult:
        if not self._url:
            return ClaimResult(ClaimStatus.UNAVAILABLE)
        if not hasattr(self._local, "client"):
            self._local.client = ObjectApiClient(self._url, timeout=TIMEOUT)
        client: ObjectApiClient = self._local.client
        if isinstance(effect, ReadClaim):
            return client.read_claim(effect.name)
        answer = client.create_claim(effect.name, effect.ticket)
        if answer.status is ClaimStatus.EXISTS and not answer.ticket:
            # A conflict answer does not carry the object that exists.
            return client.read_claim(effect.name)
        return answer
