"""Sharing of equal values between resources.

Decoding makes every string and mapping anew, although most of them repeat: models,
zones, version names, labels. At 22,000 adapters the copies take more memory than the
rest of the configuration.
"""

import sys
from functools import singledispatch

import msgspec

from fighitch.core.resources import AdapterSpec, BackendServerSpec, Resource, Spec
from fighitch.types import Labels

# Distinct label sets that are kept for sharing; beyond it sharing starts anew.
_MAX_LABEL_SETS = 4_096


class SharedValues:
    """Makes resources refer to one copy of equal values."""

    def __init__(self) -> None:
        self._labels: dict[tuple[tuple[str, str], ...], Labels] = {}

    def resource(self, item: Resource) -> Resource:
        """Returns an equal resource that shares its repeated values."""
        return msgspec.structs.replace(
            item, labels=self._shared_labels(item.labels), spec=_shared(item.spec)
        )

    def _shared_labels(self, labels: Labels) -> Labels:
        key = tuple(labels.items())
        known = self._labels.get(key)
        if known is not None:
            return known
        if len(self._labels) >= _MAX_LABEL_SETS:
            self._labels.clear()
        shared = {sys.intern(name): sys.intern(value) for name, value in key}
        self._labels[key] = shared
        return shared


@singledispatch
def _shared(spec: Spec) -> Spec:
    return spec


@_shared.register
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


@_shared.register
def _(spec: BackendServerSpec) -> BackendServerSpec:
    return msgspec.structs.replace(
        spec,
        type=sys.intern(spec.type),
        availability_zone=sys.intern(spec.availability_zone),
        region=sys.intern(spec.region),
        model=sys.intern(spec.model),
        service=sys.intern(spec.service),
    )
