"""``fighitch prune``."""

from datetime import timedelta
from functools import partial

from cleo.helpers import option

from fighitch.cli.base import ClientCommand, unwrap
from fighitch.cli.exit_codes import CommandError, ExitCode
from fighitch.cli.writing import Target, write_all
from fighitch.core.claims import MIN_PRUNE_AGE, claims_older_than
from fighitch.core.object_api import CLAIM_KIND

DEFAULT_HOURS = 24


class PruneCommand(ClientCommand):
    """Deletes claims that callers no longer retry."""

    name = "prune"
    description = "Delete old claims of caller-chosen idempotency keys."
    options = [
        option(
            "older-than",
            None,
            "Age in hours.",
            flag=False,
            default=str(DEFAULT_HOURS),
        ),
    ]
    help = """\
Deletes claims above an age. A claim binds a caller-chosen idempotency key to its order;
a retry after its deletion is executed as a new order, so the age is at least 2 hours
and should exceed every caller's retry horizon. Ages are measured by the object API's
clock. Run it every hour, so that claims do not accumulate.

Examples:
  fighitch prune
  fighitch prune --older-than 48
"""

    def handle(self) -> int:
        """Runs the command."""
        age = self._parse_age()
        claim_list = unwrap(self.api.list_claims(), "claims")
        return write_all(
            self,
            (
                Target(
                    CLAIM_KIND,
                    name,
                    partial(self.api.delete, CLAIM_KIND, name, revision=revision),
                )
                for name, revision in claims_older_than(claim_list, age)
            ),
        )

    def _parse_age(self) -> timedelta:
        text = self.option("older-than")
        try:
            age = timedelta(hours=float(text))
        except (ValueError, OverflowError):
            age = timedelta(0)
        if age < MIN_PRUNE_AGE:
            hours = MIN_PRUNE_AGE.total_seconds() / 3_600
            raise CommandError(
                ExitCode.INVALID,
                f"older-than {text!r} must be a number of hours, at least {hours:g}",
            )
        return age
