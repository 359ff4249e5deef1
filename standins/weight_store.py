"""Stand-in for the rate-limited store from which engines fetch adapter weights."""

import math
import threading
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from werkzeug.wrappers import Request, Response

from standins.driver import ModelDriver
from standins.faults import Faults
from standins.http_server import (
    Handler,
    error_response,
    json_response,
)
from standins.process import StandIn, run
from standins.settings import NonNegativeInt, PositiveFloat, StandInSettings
from standins.weight_store_model import (
    Admission,
    WeightStoreModel,
    WeightStoreParameters,
)


class WeightStoreSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the weight store.

    Attributes:
        model: Limits of the store.
    """

    model: WeightStoreParameters = WeightStoreParameters()


class WeightStoreFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the weight store.

    Attributes:
        fail_next: Number of loads that fail with 500.
        slow_factor: Multiplier of the duration of every load.
    """

    fail_next: NonNegativeInt = 0
    slow_factor: PositiveFloat = 1.0


class WeightStore(StandIn[WeightStoreFaults]):
    """Stand-in for the weight store."""

    def __init__(self, settings: WeightStoreSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the weight store.
        """
        self._model = WeightStoreModel(settings.model)
        self._driver = ModelDriver(lambda: self._model, self._complete_loads)
        self._in_transit: set[threading.Event] = set()
        self._counts: Counter[str] = Counter()
        self._by_source: Counter[str] = Counter()
        super().__init__(settings, WeightStoreFaults())

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        return (
            ("GET", "/stats", lambda request: json_response(self.counters())),
            ("GET", "/<path:source>", self._load),
        )

    def counters(self) -> Mapping[str, Any]:
        """Returns the numbers of loads and of limit violations."""
        with self._driver.changed:
            model = self._model
            return {
                "starts": model.starts,
                "in_transit": model.in_transit,
                "peak_in_transit": model.peak_in_transit,
                "rate_violations": model.rate_violations,
                "transit_violations": model.transit_violations,
                "full_speed": self._counts[Admission.FULL_SPEED.value],
                "reduced_speed": self._counts[Admission.REDUCED_SPEED.value],
                "refused": self._counts[Admission.REFUSED.value],
                "failed": self._counts["failed"],
                "by_source": dict(self._by_source),
            }

    def faults_changed(
        self, before: WeightStoreFaults, after: WeightStoreFaults
    ) -> None:
        """Applies ``slow_factor`` to the model."""
        with self._driver.changed:
            now = time.monotonic()
            self._complete_loads(self._model.set_slow_factor(after.slow_factor, now))
            self._driver.changed.notify_all()

    def start(self) -> None:
        """Starts the model and accepts connections."""
        self._driver.start()
        super().start()

    def stop(self) -> None:
        """Closes the ports and completes the loads in progress."""
        self._driver.stop()
        super().stop()
        self._complete_loads(tuple(self._in_transit))

    def _load(self, request: Request, source: str) -> Response:
        load = threading.Event()
        with self._driver.changed:
            now = time.monotonic()
            self._complete_loads(self._model.advance(now))
            admission = self._model.start(load, now)
            self._counts[admission.value] += 1
            if admission is not Admission.REFUSED:
                self._in_transit.add(load)
            wait = self._model.retry_after(now)
            self._driver.changed.notify_all()
        if admission is Admission.REFUSED:
            return error_response(
                429,
                f"load of {source!r} exceeds the rate limit",
                {"Retry-After": str(math.ceil(wait))},
            )
        load.wait()
        self.faults.wait_while_frozen()
        if self.faults.consume("fail_next"):
            with self._driver.changed:
                self._counts["failed"] += 1
            return error_response(500, f"injected fault: load of {source!r} failed")
        with self._driver.changed:
            self._by_source[source] += 1
        return Response(f"weights of {source}\n", mimetype="application/octet-stream")

    def _complete_loads(self, loads: Iterable[Any]) -> None:
        for load in loads:
            self._in_transit.discard(load)
            load.set()


if __name__ == "__main__":
    run(WeightStoreSettings, WeightStore)
