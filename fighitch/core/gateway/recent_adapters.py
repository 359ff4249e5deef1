"""Adapters that an engine unloaded recently, which load ten times as fast."""

from collections import OrderedDict
from collections.abc import Iterator

from fighitch.core.gateway.model import AdapterName

# Engines keep more unloaded adapters than this for a fast reload (102 and 84 according
# to the users' specifications), so that each adapter in the list still reloads fast.
_MAX_ADAPTERS = 80


class RecentAdapters:
    """The most recently unloaded adapters of one engine, with a bounded size."""

    def __init__(self) -> None:
        self._names: OrderedDict[AdapterName, None] = OrderedDict()

    def __contains__(self, adapter: AdapterName) -> bool:
        return adapter in self._names

    def __iter__(self) -> Iterator[AdapterName]:
        return iter(self._names)

    def add(self, adapter: AdapterName) -> None:
        """Records that an adapter was unloaded."""
        self._names[adapter] = None
        self._names.move_to_end(adapter)
        if len(self._names) > _MAX_ADAPTERS:
            self._names.popitem(last=False)

    def discard(self, adapter: AdapterName) -> None:
        """Removes an adapter that is loaded again."""
        self._names.pop(adapter, None)

    def clear(self) -> None:
        """Removes all adapters: a restarted engine keeps none for a fast reload."""
        self._names.clear()
