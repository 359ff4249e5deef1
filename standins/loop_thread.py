"""Base of stand-ins that run an event loop on a thread of their own."""

import threading
from collections.abc import Callable

from fighitch.runtime.event_loop import EventLoop

_LONGEST_STOP = 5.0
# A busy machine may not run the thread for seconds.
_LONGEST_CALL = 30.0


class LoopThread:
    """An event loop and its thread, which alone touches the state of a stand-in.

    The loop needs a periodic timer of the stand-in: it bounds the time until calls from
    other threads run.
    """

    def __init__(self) -> None:
        self.loop = EventLoop()
        self._thread = threading.Thread(target=self.loop.run, daemon=True)

    def start(self) -> None:
        """Starts the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the loop and waits for the thread."""
        self.loop.stop()
        self._thread.join(_LONGEST_STOP)

    def call(self, function: Callable[[], object]) -> None:
        """Runs a function on the loop's thread and waits for it.

        Raises:
            TimeoutError: If the thread does not run it.
        """
        done = threading.Event()

        def run() -> None:
            function()
            done.set()

        self.loop.call_later(0, run)
        if not done.wait(_LONGEST_CALL):
            raise TimeoutError(f"the loop did not run a call for {_LONGEST_CALL} s")
