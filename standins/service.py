"""Stand-in for a plain service that counts the runs per idempotency key."""

import hashlib
import threading
import time
import uuid
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from werkzeug.wrappers import Request, Response

from standins.faults import Faults
from standins.http_server import AbortConnection, Handler, error_response, json_response
from standins.process import StandIn, run
from standins.settings import NonNegativeFloat, NonNegativeInt, StandInSettings

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"


class ServiceSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the service.

    Attributes:
        run_seconds: Duration of each run.
    """

    run_seconds: NonNegativeFloat = 0.0


class ServiceFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the service.

    Attributes:
        lose_next_answers: Number of calls that run without a response.
        refuse_next: Number of calls rejected with 503 before they run.
        run_seconds: Duration of each run.
    """

    lose_next_answers: NonNegativeInt = 0
    refuse_next: NonNegativeInt = 0
    run_seconds: NonNegativeFloat = 0.0


class Service(StandIn[ServiceFaults]):
    """Stand-in for a plain service."""

    def __init__(self, settings: ServiceSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the service.
        """
        self._lock = threading.Lock()
        self._runs: Counter[str] = Counter()
        self._counts = Counter(running=0, served=0, refused=0, lost_answers=0)
        self._boot_id = uuid.uuid4().hex
        super().__init__(settings, ServiceFaults(run_seconds=settings.run_seconds))

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        return (
            ("GET", "/health", lambda request: json_response({"status": "ok"})),
            ("GET", "/load", self._show_load),
            ("GET", "/runs", self._show_runs),
            ("GET", "/", self._run_call),
            ("POST", "/", self._run_call),
            ("GET", "/<path:path>", self._run_call),
            ("POST", "/<path:path>", self._run_call),
        )

    def actions(self) -> Mapping[str, Callable[[], None]]:
        """Returns ``restart``: changes the boot id, cuts connections, keeps counts."""
        return {"restart": self._restart}

    def counters(self) -> Mapping[str, Any]:
        """Returns the numbers of calls and the boot id."""
        with self._lock:
            return {**self._counts, "boot_id": self._boot_id}

    def _run_call(self, request: Request, path: str = "") -> Response:
        body = request.get_data()
        if self.faults.consume("refuse_next"):
            self._increment("refused")
            return error_response(
                503, "rejected before execution", {"Retry-After": "1"}
            )
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, "")
        with self._lock:
            self._runs[key] += 1
            self._counts["running"] += 1
            number = self._runs[key]
        time.sleep(self.faults.current.run_seconds)
        with self._lock:
            self._counts["running"] -= 1
            self._counts["served"] += 1
        self.faults.wait_while_frozen()
        if self.faults.consume("lose_next_answers"):
            self._increment("lost_answers")
            raise AbortConnection("injected fault: response lost")
        return json_response(
            {
                "method": request.method,
                "path": f"/{path}",
                "body_sha256": hashlib.sha256(body).hexdigest(),
                "run": number,
            }
        )

    def _restart(self) -> None:
        with self._lock:
            self._boot_id = uuid.uuid4().hex
        self._server.cut_connections()

    def _increment(self, name: str) -> None:
        with self._lock:
            self._counts[name] += 1

    def _show_load(self, request: Request) -> Response:
        with self._lock:
            return json_response(
                {
                    "boot_id": self._boot_id,
                    "running": self._counts["running"],
                    "served": self._counts["served"],
                }
            )

    def _show_runs(self, request: Request) -> Response:
        with self._lock:
            return json_response(dict(self._runs))


if __name__ == "__main__":
    run(ServiceSettings, Service)
