"""Label selectors in the syntax of Kubernetes."""

import re
from dataclasses import dataclass

from expression import Error, Ok, Result

from fighitch.core.errors import ErrorKind, Failure
from fighitch.types import Labels

_KEY_PATTERN = r"[A-Za-z0-9][-A-Za-z0-9_./]*"
_SET_PATTERN = re.compile(rf"^({_KEY_PATTERN})\s+(in|notin)\s+\(([^()]*)\)$")
_EQUALITY_PATTERN = re.compile(rf"^({_KEY_PATTERN})\s*(==|=|!=)\s*([-A-Za-z0-9_.]*)$")
_EXISTENCE_PATTERN = re.compile(rf"^(!?)\s*({_KEY_PATTERN})$")
# Matches a comma that is not inside the parentheses of a set.
_SEPARATOR_PATTERN = re.compile(r",(?![^(]*\))")


@dataclass(frozen=True, slots=True)
class Requirement:
    """Requirement on one label.

    Attributes:
        key: Label name.
        values: Values to compare with; empty to test only whether the label exists.
        negated: Whether the requirement is negated. As in Kubernetes, a negated
            requirement also matches if the label is absent.
    """

    key: str
    values: frozenset[str] = frozenset()
    negated: bool = False

    def matches(self, labels: Labels) -> bool:
        """Returns whether the labels satisfy the requirement."""
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
        text: Comma-separated requirements; an empty string matches everything.

    Returns:
        The selector, or a failure that names the invalid requirement.
    """
    requirements = []
    for part in filter(None, map(str.strip, _SEPARATOR_PATTERN.split(text))):
        requirement = _parse_requirement(part)
        if requirement is None:
            return Error(
                Failure(
                    ErrorKind.BAD_REQUEST,
                    f"selector requirement {part!r} is invalid; allowed forms are "
                    "'key', '!key', 'key=value', 'key!=value', 'key in (a,b)' and "
                    "'key notin (a,b)'",
                )
            )
        requirements.append(requirement)
    return Ok(Selector(tuple(requirements)))


def _parse_requirement(part: str) -> Requirement | None:
    if match := _SET_PATTERN.match(part):
        key, operator, value_list = match.groups()
        values = frozenset(value.strip() for value in value_list.split(","))
        return Requirement(key, values, negated=operator == "notin")
    if match := _EQUALITY_PATTERN.match(part):
        key, operator, value = match.groups()
        return Requirement(key, frozenset({value}), negated=operator == "!=")
    if match := _EXISTENCE_PATTERN.match(part):
        return Requirement(match.group(2), negated=bool(match.group(1)))
    return None
