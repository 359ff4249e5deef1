"""Signal handlers of a daemon: drain, report of a repeated stop signal, reload."""

import signal
import threading
from collections.abc import Callable
from types import FrameType


class Signals:
    """Installs signal handlers and runs their callbacks on separate threads."""

    def __init__(
        self,
        *,
        on_drain: Callable[[], None],
        on_repeated_stop: Callable[[], None],
        on_reload: Callable[[], None],
    ) -> None:
        """Installs the handlers; must be called on the main thread.

        Args:
            on_drain: Called for the first SIGTERM or SIGINT.
            on_repeated_stop: Called for each further SIGTERM or SIGINT; the drain
                continues.
            on_reload: Called for SIGHUP.
        """
        self._on_drain = on_drain
        self._on_second = on_repeated_stop
        self._on_reload = on_reload
        self._count = 0
        signal.signal(signal.SIGTERM, self._stop)
        signal.signal(signal.SIGINT, self._stop)
        signal.signal(signal.SIGHUP, self._reload)

    def _stop(self, _number: int, _frame: FrameType | None) -> None:
        self._count += 1
        target = self._on_drain if self._count == 1 else self._on_second
        # A signal handler must not block the main thread, which may hold a lock.
        threading.Thread(target=target, daemon=True).start()

    def _reload(self, _number: int, _frame: FrameType | None) -> None:
        threading.Thread(target=self._on_reload, daemon=True).start()
