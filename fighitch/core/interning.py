"""Interning of equal values across resources.

Decoding creates a new object for every string and mapping, although most of them repeat
(models, zones, version names, labels). With 22,000 adapters the duplicates take more
memory than the rest of the configuration.
"""

import sys
from functools import singledispatch

import msgspec

from fighitch.core.resources import AdapterSpec, BackendServerSpec, Resource, Spec
from fighitch.types import Labels

# Maximum number of interned label sets; the cache is cleared when it is full.
_MAX_LABEL_SETS = 4_096


class ValueInterner:
    """Lets resources with equal values share one copy of them."""

    def __init__(self) -> None:
        self._label_sets: dict[tuple[tuple[str, str], ...], Labels] = {}

    def intern_resource(self, item: Resource) -> Resource:
        """Returns an equal resource that refers to interned values."""
        return msgspec.structs.replace(
            item, labels=self._intern_labels(item.labels), spec=_intern_spec(item.spec)
        )

    def _intern_labels(self, labels: Labels) -> Labels:
        key = tuple(labels.items())
        cached = self._label_sets.get(key)
        if cached is not None:
            return cached
        if len(self._label_sets) >= _MAX_LABEL_SETS:
            self._label_sets.clear()
        interned = {sys.intern(name): sys.intern(value) for name, value in key}
        self._label_sets[key] = interned
        return interned


@singledispatch
def _intern_spec(spec: Spec) -> Spec:
    return spec


@_intern_spec.register
def _(spec: AdapterSpec) -> AdapterSpec:
    return msgspec.structs.replace(
        spec,
        model=sys.intern(spec.model),
        default_version=sys.intern(spec.default_version),
        versions=tuple(
            msgspec.structs.replace(version, name=sys.intern(version.name))
            for version in spec.versions
        ),
    )


@_intern_spec.register
def _(spec: BackendServerSpec) -> BackendServerSpec:
    return msgspec.structs.replace(
        spec,
        type=sys.intern(spec.type),
        availability_zone=sys.intern(spec.availability_zone),
        region=sys.intern(spec.region),
        model=sys.intern(spec.model),
        service=sys.intern(spec.service),
    )
