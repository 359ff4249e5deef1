"""Base class of stand-ins that run an event loop in a separate thread."""

import threading
import time
from collections.abc import Callable

from fighitch.runtime.event_loop import EventLoop

_STOP_TIMEOUT_SECONDS = 5.0
# On a busy machine, the thread may not be scheduled for seconds.
_CALL_TIMEOUT_SECONDS = 30.0


class LoopThread:
    """An event loop and its thread, the only one that accesses the stand-in's state.

    Subclasses must set a periodic timer, which bounds the delay of calls from other
    threads.
    """

    def __init__(self) -> None:
        self.loop = EventLoop()
        self._thread = threading.Thread(target=self.loop.run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stops the loop and waits for the thread."""
        self.loop.stop()
        self._thread.join(_STOP_TIMEOUT_SECONDS)

    def fall_silent(self, seconds: float) -> None:
        """Stops the thread for a while; connections stay open and nothing is sent."""
        self.loop.call_later(0, lambda: time.sleep(seconds))

    def call(self, function: Callable[[], object]) -> None:
        """Runs a function in the loop's thread and waits for it.

        Raises:
            TimeoutError: If the thread does not run it in time.
        """
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_later(0, run)
        if not done.wait(_CALL_TIMEOUT_SECONDS):
            raise TimeoutError(
                f"the loop did not run a call for {_CALL_TIMEOUT_SECONDS} s"
            )
