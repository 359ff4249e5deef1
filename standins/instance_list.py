"""Stand-in for the platform's lagging list of live and leaving instances."""

import threading
import time
from collections.abc import Iterable, Mapping
from typing import Any

from werkzeug.exceptions import BadRequest
from werkzeug.wrappers import Request, Response

from fighitch.types import InstanceName
from standins.faults import Faults
from standins.http_server import Handler, json_response, read_json_object
from standins.process import StandIn, run
from standins.rates import LaggedValue
from standins.settings import NonNegativeFloat, StandInSettings

LIVE, LEAVING, GONE = "live", "leaving", "gone"


class InstanceListSettings(
    StandInSettings, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the instance list.

    Attributes:
        live: Names of the instances that are live at startup.
        lag_seconds: Lag of the list, at most 60 s.
    """

    live: tuple[InstanceName, ...] = ()
    lag_seconds: NonNegativeFloat = 0.0


class InstanceListFaults(Faults, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Faults of the instance list.

    Attributes:
        lag_seconds: Lag of the list, at most 60 s.
    """

    lag_seconds: NonNegativeFloat = 0.0


class InstanceList(StandIn[InstanceListFaults]):
    """Stand-in for the instance list."""

    def __init__(self, settings: InstanceListSettings) -> None:
        """Binds the ports.

        Args:
            settings: Settings of the instance list.
        """
        self._lock = threading.Lock()
        self._states = dict.fromkeys(settings.live, LIVE)
        self._lagged_states = LaggedValue(dict(self._states), time.monotonic())
        self._reads = 0
        super().__init__(settings, InstanceListFaults(lag_seconds=settings.lag_seconds))

    def routes(self) -> Iterable[tuple[str, str, Handler]]:
        """Returns the routes."""
        return (
            ("GET", "/instances", self._list_instances),
            ("PUT", "/instances/<name>", self._set_state),
        )

    def counters(self) -> Mapping[str, Any]:
        """Returns the number of reads and the current states, without lag."""
        with self._lock:
            return {"reads": self._reads, "instances": dict(self._states)}

    def _list_instances(self, request: Request) -> Response:
        with self._lock:
            self._reads += 1
            lag = self.faults.current.lag_seconds
            states = self._lagged_states.read(time.monotonic(), lag)
        return json_response(
            {
                state: sorted(name for name, value in states.items() if value == state)
                for state in (LIVE, LEAVING)
            }
        )

    def _set_state(self, request: Request, name: str) -> Response:
        state = read_json_object(request).get("state")
        if state not in (LIVE, LEAVING, GONE):
            raise BadRequest(f"state {state!r} is not one of live, leaving, gone")
        with self._lock:
            self._states[name] = state
            if state == GONE:
                del self._states[name]
            self._lagged_states.record(dict(self._states), time.monotonic())
        return json_response({"name": name, "state": state})


if __name__ == "__main__":
    run(InstanceListSettings, InstanceList)
