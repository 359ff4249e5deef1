"""Local replica of the configuration.

The object API orders all changes. A replica holds a prefix of that sequence (every
change up to ``revision``) and possibly individual later changes handed over by an
operator. A merge keeps the change with the highest revision of each resource. Merging
is therefore commutative and idempotent, and a resource never reverts to an older state.
"""

from collections.abc import Iterable, Iterator
from functools import lru_cache

import msgspec
import xxhash

from fighitch.core.interning import ValueInterner
from fighitch.core.labels import Selector
from fighitch.core.resources import SPEC_TYPES, Kind, Resource, parse_validated_selector
from fighitch.types import Revision

# Tombstones are needed to reject stale copies of deleted resources from peers. The
# latest 10,000 cover more than half a day at 16,000 changes per day.
MAX_TOMBSTONES = 10_000

_ResourceKey = tuple[Kind, str]


class ConfigurationStore:
    """Resources by kind and name, merged by revision.

    ``generation`` counts the merges that changed the store. Callers compare it to
    detect that values derived from the store must be recomputed.
    """

    def __init__(self) -> None:
        self._interner = ValueInterner()
        self._by_kind: dict[Kind, dict[str, Resource]] = {kind: {} for kind in Kind}
        self._tombstones: dict[_ResourceKey, Resource] = {}
        self._revision: Revision = 0
        self._tombstones_complete_since: Revision = 0
        self._generation = 0
        self._revisions_ahead: dict[_ResourceKey, Revision] = {}
        self._ahead_digest = 0
        self._generation_by_kind = dict.fromkeys(Kind, 0)

    @property
    def revision(self) -> Revision:
        """Revision up to which every change is known."""
        return self._revision

    @property
    def ahead(self) -> int:
        """Digest of the changes held beyond ``revision``; 0 if there are none.

        Peers at the same revision compare it, because the revision alone does not show
        that one of them lacks a change that an operator handed over.
        """
        return self._ahead_digest

    @property
    def position(self) -> tuple[Revision, int]:
        """``revision`` and ``ahead``; equal for peers that hold the same changes."""
        return self._revision, self._ahead_digest

    @property
    def generation(self) -> int:
        """Number of merges that changed the store."""
        return self._generation

    def generation_of(self, *kinds: Kind) -> int:
        """Returns the number of merges that changed a kind, summed over the kinds."""
        return sum(self._generation_by_kind[kind] for kind in kinds)

    def __len__(self) -> int:
        return sum(map(len, self._by_kind.values())) + len(self._tombstones)

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Returns the resource, or None if it does not exist."""
        return self._by_kind[kind].get(name)

    def of_kind(self, kind: Kind) -> Iterator[Resource]:
        """Iterates over the resources of a kind."""
        return iter(self._by_kind[kind].values())

    def merge(
        self, resources: Iterable[Resource], *, revision: Revision, base: Revision = 0
    ) -> bool:
        """Merges changes and advances the revision if they leave no gap.

        Args:
            resources: Changed resources; tombstones have no specification.
            revision: Last revision that the changes cover; 0 for individual changes
                that do not cover a range of revisions.
            base: Revision that the changes follow: they include every change from
                there up to ``revision``. 0 for a full list, which also deletes older
                resources that it does not contain.

        Returns:
            Whether the store changed.
        """
        resources = tuple(resources)
        changed = [item for item in resources if self._merge_resource(item)]
        is_full_list = base == 0 and revision > self._revision
        if is_full_list:
            changed += self._delete_unlisted(resources, revision)
        if revision > self._revision and base <= self._revision:
            self._revision = revision
        self._evict_oldest_tombstones()
        self._update_changes_ahead(changed)
        if changed:
            self._generation += 1
        for kind in {item.kind for item in changed}:
            self._generation_by_kind[kind] += 1
        return bool(changed)

    def changes_since(self, since: Revision) -> tuple[Revision, tuple[Resource, ...]]:
        """Returns the changes that a peer at revision ``since`` lacks.

        Args:
            since: Revision of the peer.

        Returns:
            The revision that the changes follow, and the changed resources. The
            revision is 0 for a full copy, which is returned if tombstones that the peer
            may lack have been evicted.
        """
        if since < self._tombstones_complete_since or since == 0:
            return 0, tuple(self._changed_after(0, with_tombstones=False))
        return since, tuple(self._changed_after(since, with_tombstones=True))

    def _changed_after(
        self, since: Revision, *, with_tombstones: bool
    ) -> Iterator[Resource]:
        for resources in self._by_kind.values():
            yield from (item for item in resources.values() if item.revision > since)
        if with_tombstones:
            deleted = self._tombstones.values()
            yield from (item for item in deleted if item.revision > since)

    def _merge_resource(self, item: Resource) -> bool:
        key = (item.kind, item.name)
        current = self._by_kind[item.kind].get(item.name) or self._tombstones.get(key)
        if current is not None and current.revision >= item.revision:
            return False
        if item.is_deleted:
            self._tombstones[key] = item
            self._by_kind[item.kind].pop(item.name, None)
            return True
        self._tombstones.pop(key, None)
        self._by_kind[item.kind][item.name] = self._interner.intern_resource(item)
        return True

    def _update_changes_ahead(self, changed: Iterable[Resource]) -> None:
        for item in changed:
            self._revisions_ahead[item.kind, item.name] = item.revision
        self._revisions_ahead = {
            key: revision
            for key, revision in self._revisions_ahead.items()
            if revision > self._revision
        }
        # XOR makes the digest independent of the order in which changes arrived.
        digest = 0
        for (kind, name), revision in self._revisions_ahead.items():
            text = f"{kind.value}/{name}/{revision}"
            digest ^= xxhash.xxh3_64_intdigest(text.encode())
        self._ahead_digest = digest

    def _delete_unlisted(
        self, listed: tuple[Resource, ...], revision: Revision
    ) -> list[Resource]:
        names = {(item.kind, item.name) for item in listed}
        unlisted = [
            Resource(kind=item.kind, name=item.name, revision=revision)
            for resources in self._by_kind.values()
            for item in resources.values()
            if (item.kind, item.name) not in names and item.revision <= revision
        ]
        return [item for item in unlisted if self._merge_resource(item)]

    def _evict_oldest_tombstones(self) -> None:
        excess = len(self._tombstones) - MAX_TOMBSTONES
        if excess <= 0:
            return
        oldest = sorted(self._tombstones.items(), key=lambda pair: pair[1].revision)
        for key, item in oldest[:excess]:
            del self._tombstones[key]
            self._tombstones_complete_since = item.revision


@lru_cache(maxsize=4096)
def cached_selector(text: str) -> Selector:
    """Returns the parsed form of a validated selector, from a cache."""
    return parse_validated_selector(text)


def encode_resources(resources: Iterable[Resource]) -> bytes:
    """Encodes resources as JSON for a peer."""
    return msgspec.json.encode(list(resources))


def decode_resources(data: bytes) -> tuple[Resource, ...]:
    """Decodes resources received from a peer.

    Raises:
        msgspec.MsgspecError: If the data is not an array of resources.
        RecursionError: If the data is nested too deeply.
    """
    return tuple(
        item
        if item.is_deleted
        else msgspec.structs.replace(
            item, spec=msgspec.convert(item.spec, SPEC_TYPES[item.kind])
        )
        for item in msgspec.json.decode(data, type=list[Resource])
    )
