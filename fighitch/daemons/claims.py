"""Object API calls that bind idempotency keys chosen by callers to tickets."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from fighitch.clients.object_api import ObjectApiClient
from fighitch.core.claims import ClaimResult
from fighitch.core.effects import CreateClaim, ReadClaim
from fighitch.core.inputs import ClaimAnswered, ClaimStatus
from fighitch.types import Seconds

WORKERS = 8
# Urgent orders wait for this call, so the timeout for a slow object API is short.
TIMEOUT: Seconds = 1.0


class ClaimCalls:
    """Runs claim calls on a thread pool with one client per thread."""

    def __init__(self, url: str, *, on_result: Callable[[ClaimAnswered], None]) -> None:
        """Creates the thread pool.

        Args:
            url: Base URL of the object API; if empty, every call is unavailable.
            on_result: Called with each result.
        """
        self._url = url
        self._on_result = on_result
        self._executor = ThreadPoolExecutor(WORKERS, thread_name_prefix="claims")
        self._local = threading.local()

    def submit(self, effect: CreateClaim | ReadClaim) -> None:
        """Queues a call."""
        self._executor.submit(self._run, effect)

    def stop(self) -> None:
        """Shuts the pool down and drops queued calls."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, effect: CreateClaim | ReadClaim) -> None:
        result = self._call(effect)
        self._on_result(
            ClaimAnswered(effect.request_id, effect.name, result.status, result.ticket)
        )

    def _call(self, effect: CreateClaim | ReadClaim) -> ClaimResult:
        if not self._url:
            return ClaimResult(ClaimStatus.UNAVAILABLE)
        if not hasattr(self._local, "client"):
            self._local.client = ObjectApiClient(self._url, timeout=TIMEOUT)
        client: ObjectApiClient = self._local.client
        if isinstance(effect, ReadClaim):
            return client.read_claim(effect.name)
        result = client.create_claim(effect.name, effect.ticket)
        if result.status is ClaimStatus.EXISTS and not result.ticket:
            # The conflict response does not contain the existing object.
            return client.read_claim(effect.name)
        return result
