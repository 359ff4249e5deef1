"""Three-way merge behind ``apply``: file, existing object and last applied content.

An annotation on each object records the content that the operators' client applied
last, and for whom. If the object has been changed by other means since then, writing
would overwrite that change, so the result is a conflict.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.object_api import Document, labels_of, revision_of
from fighitch.core.object_writes import Write, create, has_same_content, replace

LAST_APPLIED = "fighitch.dev/last-applied"


class LastApplied(msgspec.Struct, frozen=True):
    """Content of the ``LAST_APPLIED`` annotation.

    Attributes:
        manager: Name of the operator who applied the object.
        labels: Labels that were applied.
        spec: Specification that was applied.
    """

    manager: str
    labels: dict[str, str]
    spec: Any


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The object API already holds the desired content."""

    document: Document


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """Writing would overwrite a change made by others."""

    detail: str


ApplyPlan: TypeAlias = Write | Unchanged | ApplyConflict


def plan_apply(
    desired: Document, existing: Document | None, *, manager: str, force: bool = False
) -> ApplyPlan:
    """Returns the write that applies an object, if one is needed and allowed.

    Args:
        desired: Object from the file. If it states ``metadata.resourceVersion``, the
            existing object must have that version.
        existing: Object that the object API holds; None if there is none.
        manager: Name of the operator who applies the object.
        force: Whether to overwrite changes made by others.
    """
    base_revision = revision_of(desired)
    if existing is None:
        if base_revision and not force:
            return ApplyConflict(
                f"the file is based on resource version {base_revision}, but the "
                "object does not exist; remove metadata.resourceVersion to create it"
            )
        return create(_merged_object(desired, None, manager))
    merged = _merged_object(desired, existing, manager)
    if merged == existing:
        return Unchanged(existing)
    if not force and not has_same_content(merged, existing):
        differences = tuple(
            _conflicting_changes(desired, existing, manager, base_revision)
        )
        if differences:
            return ApplyConflict("; ".join(differences))
    return replace(merged)


def last_applied(document: Document) -> LastApplied | None:
    """Returns the last applied content; None if the annotation is absent or invalid."""
    annotations = document.get("metadata", {}).get("annotations") or {}
    try:
        return msgspec.json.decode(annotations[LAST_APPLIED], type=LastApplied)
    except (KeyError, TypeError, *DECODE_ERRORS):
        return None


def _merged_object(
    desired: Document, existing: Document | None, manager: str
) -> Document:
    """Returns the object to write.

    Labels added by others are kept; labels that were applied before and are no longer
    in the file are removed.
    """
    previous = last_applied(existing) if existing else None
    applied = LastApplied(manager, labels_of(desired), desired.get("spec"))
    dropped = set(previous.labels) - set(applied.labels) if previous else set()
    current = existing or {"metadata": {}}
    labels = {
        key: value for key, value in labels_of(current).items() if key not in dropped
    }
    annotations = {
        **(current["metadata"].get("annotations") or {}),
        **(desired["metadata"].get("annotations") or {}),
        LAST_APPLIED: msgspec.json.encode(applied, order="deterministic").decode(),
    }
    # The metadata of the existing object takes precedence, so that the write is based
    # on the resource version that was read.
    metadata = {
        **desired["metadata"],
        **current["metadata"],
        "labels": {**labels, **applied.labels},
        "annotations": annotations,
    }
    return {**current, **desired, "metadata": metadata}


def _conflicting_changes(
    desired: Document, existing: Document, manager: str, base_revision: int
) -> Iterator[str]:
    """Yields a description of each change by others that writing would overwrite."""
    if base_revision:
        # The file was derived from that version, so every change up to it was known to
        # the author and may be overwritten.
        if base_revision != revision_of(existing):
            yield (
                f"the file is based on resource version {base_revision}, the object "
                f"has {revision_of(existing)}"
            )
        return
    applied = last_applied(existing)
    if applied is None:
        yield "the object was not created by apply"
        return
    if applied.manager != manager:
        yield f"the object was last applied by {applied.manager!r}"
    yield from _spec_changes(applied.spec, existing.get("spec"))
    yield from _label_changes(desired, applied, labels_of(existing))


def _spec_changes(applied: Any, existing: Any) -> Iterator[str]:
    if not isinstance(applied, dict) or not isinstance(existing, dict):
        if applied != existing:
            yield f"spec was applied as {applied!r} and is now {existing!r}"
        return
    for key in sorted(applied.keys() | existing.keys()):
        old, new = applied.get(key), existing.get(key)
        if old != new:
            yield f"spec.{key} was applied as {old!r} and is now {new!r}"


def _label_changes(
    desired: Document, applied: LastApplied, existing: dict[str, str]
) -> Iterator[str]:
    for key, value in sorted(labels_of(desired).items()):
        old, new = applied.labels.get(key), existing.get(key)
        if new not in (old, value):
            yield f"label {key} was applied as {old!r} and is now {new!r}"
