"""What ``apply`` writes: three-way comparison of file, object and last application.

An annotation on each object records what the operators' client applied last and for
whom. If the object has changed in another way since, the change of somebody else would
be overwritten, so that is a conflict.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, TypeAlias

import msgspec

from fighitch.core.decode_errors import DECODE_ERRORS
from fighitch.core.object_api import Document, labels_of, revision_of
from fighitch.core.object_writes import Write, create, replace, same_content

LAST_APPLIED = "fighitch.dev/last-applied"


class Applied(msgspec.Struct, frozen=True):
    """Content of the annotation.

    Attributes:
        manager: Who applied.
        labels: Labels that were applied.
        spec: Specification that was applied.
    """

    manager: str
    labels: dict[str, str]
    spec: Any


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The object API holds the wanted content already."""

    document: Document


@dataclass(frozen=True, slots=True)
class ApplyConflict:
    """Writing would overwrite a change of somebody else."""

    detail: str


ApplyPlan: TypeAlias = Write | Unchanged | ApplyConflict


def plan_apply(
    wanted: Document, found: Document | None, *, manager: str, force: bool = False
) -> ApplyPlan:
    """Decides what to write.

    Args:
        wanted: Object from the file; a ``metadata.resourceVersion`` in it must match.
        found: Object that the object API holds; None if there is none.
        manager: Who applies.
        force: Whether to overwrite changes of others.
    """
    stated = revision_of(wanted)
    if found is None:
        if stated and not force:
            return ApplyConflict(
                f"the file is based on resource version {stated}, but the object does "
                "not exist; remove metadata.resourceVersion to create it"
            )
        return create(_merged(wanted, None, manager))
    merged = _merged(wanted, found, manager)
    if merged == found:
        return Unchanged(found)
    if not force and not same_content(merged, found):
        differences = tuple(_foreign_changes(wanted, found, manager, stated))
        if differences:
            return ApplyConflict("; ".join(differences))
    return replace(merged)


def last_applied(document: Document) -> Applied | None:
    """Returns what was applied last; None if nothing readable is recorded."""
    annotations = document.get("metadata", {}).get("annotations") or {}
    try:
        return msgspec.json.decode(annotations[LAST_APPLIED], type=Applied)
    except (KeyError, TypeError, *DECODE_ERRORS):
        return None


def _merged(wanted: Document, found: Document | None, manager: str) -> Document:
    """Returns the object to write; labels that others have added are kept."""
    before = last_applied(found) if found else None
    applied = Applied(manager, labels_of(wanted), wanted.get("spec"))
    dropped = set(before.labels) - set(applied.labels) if before else set()
    old = found or {"metadata": {}}
    labels = {key: value for key, value in labels_of(old).items() if key not in dropped}
    annotations = {
        **(old["metadata"].get("annotations") or {}),
        **(wanted["metadata"].get("annotations") or {}),
        LAST_APPLIED: msgspec.json.encode(applied, order="deterministic").decode(),
    }
    metadata = {
        **wanted["metadata"],
        **old["metadata"],
        "labels": {**labels, **applied.labels},
        "annotations": annotations,
    }
    return {**old, **wanted, "metadata": metadata}


def _foreign_changes(
    wanted: Document, found: Document, manager: str, stated: int
) -> Iterator[str]:
    """Yields the changes of others that writing would overwrite."""
    if stated:
        # The file's author has seen that version and decided on its content.
        if stated != revision_of(found):
            yield (
                f"the file is based on resource version {stated}, the object has "
                f"{revision_of(found)}"
            )
        return
    applied = last_applied(found)
    if applied is None:
        yield "the object was not created by apply"
        return
    if applied.manager != manager:
        yield f"{applied.manager!r} has applied it last"
    yield from _spec_changes(applied.spec, found.get("spec"))
    yield from _label_changes(wanted, applied, labels_of(found))


def _spec_changes(applied: Any, found: Any) -> Iterator[str]:
    if not isinstance(applied, dict) or not isinstance(found, dict):
        if applied != found:
            yield f"spec was {applied!r} and is now {found!r}"
        return
    for key in sorted(applied.keys() | found.keys()):
        old, new = applied.get(key), found.get(key)
        if old != new:
            yield f"spec.{key} was applied as {old!r} and is now {new!r}"


def _label_changes(
    wanted: Document, applied: Applied, found: dict[str, str]
) -> Iterator[str]:
    for key, value in sorted(labels_of(wanted).items()):
        old, new = applied.labels.get(key), found.get(key)
        if new not in (old, value):
            yield f"label {key} was applied as {old!r} and is now {new!r}"
