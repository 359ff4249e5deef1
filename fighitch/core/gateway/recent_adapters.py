"""Adapters that an engine dropped not long ago, which load ten times as fast."""

from collections import OrderedDict
from collections.abc import Iterator

from fighitch.core.gateway.model import AdapterName

# Below the number that engines keep at hand (102 and 84 on the users' sheets).
_MOST = 80


class RecentAdapters:
    """The adapters that were dropped last."""

    def __init__(self) -> None:
        self._names: OrderedDict[AdapterName, None] = OrderedDict()

    def __contains__(self, adapter: AdapterName) -> bool:
        return adapter in self._names

    def __iter__(self) -> Iterator[AdapterName]:
        return iter(self._names)

    def add(self, adapter: AdapterName) -> None:
        """Notes that an adapter was dropped."""
        self._names[adapter] = None
        self._names.move_to_end(adapter)
        if len(self._names) > _MOST:
            self._names.popitem(last=False)

    def discard(self, adapter: AdapterName) -> None:
        """Notes that an adapter is held."""
        self._names.pop(adapter, None)

    def clear(self) -> None:
        """Notes that the engine keeps nothing of before."""
        self._names.clear()
