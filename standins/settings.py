"""Settings files of the stand-ins: JSON with comments."""

from pathlib import Path
from typing import Annotated, TypeAlias, TypeVar

import json5
import msgspec

PositiveInt: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
Fraction: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=1)]


class StandInSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings common to all stand-ins.

    Attributes:
        port: TCP port on 127.0.0.1; 0 selects a free port.
        control_port: TCP port for faults and counters; 0 selects a free port.
        threads: Maximum number of concurrent requests; a waiting stream occupies one.
    """

    port: int = 0
    control_port: int = 0
    threads: PositiveInt = 128


S = TypeVar("S", bound=StandInSettings)


class SettingsError(ValueError):
    """A settings file is unreadable or invalid."""


def load_settings(path: Path, settings_type: type[S]) -> S:
    """Loads a settings file.

    Args:
        path: JSON file; comments are allowed.
        settings_type: Type of the settings.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file is unreadable or invalid; the message names the file,
            the key and the allowed keys.
    """
    allowed = ", ".join(settings_type.__struct_fields__)
    try:
        return msgspec.convert(json5.loads(path.read_text()), settings_type)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}; allowed keys: {allowed}") from error
