"""Label selectors in the syntax of Kubernetes."""

import re
from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.errors import ErrorKind, Failure
from fighitch.types import Labels

_NAME = r"[A-Za-z0-9][-A-Za-z0-9_./]*"
_SET = re.compile(rf"^({_NAME})\s+(in|notin)\s+\(([^()]*)\)$")
_EQUALITY = re.compile(rf"^({_NAME})\s*(==|=|!=)\s*([-A-Za-z0-9_.]*)$")
_EXISTS = re.compile(rf"^(!?)\s*({_NAME})$")
_COMMA_OUTSIDE_SET = re.compile(r",(?![^(]*\))")


@dataclass(frozen=True, slots=True)
class Requirement:
    """Condition on one label.

    Attributes:
        key: Label name.
        values: Values to compare with; empty to test only whether the label exists.
        negated: Whether the condition is negated. As in Kubernetes, a negated condition
            also matches if the label is absent.
    """

    key: str
    values: frozenset[str] = frozenset()
    negated: bool = False

    def matches(self, labels: Labels) -> bool:
        """Returns whether the labels satisfy the condition."""
        if not self.values:
            return (self.key in labels) != self.negated
        return (labels.get(self.key) in self.values) != self.negated


@dataclass(frozen=True, slots=True)
class Selector:
    """Conjunction of requirements; the empty selector matches everything."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Returns whether the labels satisfy every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)


EVERYTHING = Selector()


def parse_selector(text: str) -> Result[Selector, Failure]:
    """Parses a selector such as ``tier=gold,zone in (a,b),!spot``.

    Args:
        text: Comma-separated conditions; an empty string matches everything.

    Returns:
        The selector, or a failure that names the invalid condition.
    """
    requirements = []
    for part in filter(None, map(str.strip, _COMMA_OUTSIDE_SET.split(text))):
        requirement = _parse_requirement(part)
        if requirement is None:
            return Error(
                Failure(
                    ErrorKind.BAD_REQUEST,
                    f"selector condition {part!r} is invalid; allowed forms are "
                    "'key', '!key', 'key=value', 'key!=value', 'key in (a,b)' and "
                    "'key notin (a,b)'",
                )
            )
        requirements.append(requirement)
    return Ok(Selector(tuple(requirements)))


def _parse_requirement(part: str) -> Requirement | None:
    if found := _SET.match(part):
        key, operator, values = found.groups()
        chosen = frozenset(value.strip() for value in values.split(","))
        return Requirement(key, chosen, negated=operator == "notin")
    if found := _EQUALITY.match(part):
        key, operator, value = found.groups()
        return Requirement(key, frozenset({value}), negated=operator == "!=")
    if found := _EXISTS.match(part):
        return Requirement(found.group(2), negated=bool(found.group(1)))
    return None
