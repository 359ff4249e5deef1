"""Settings files of the stand-ins: JSON with comments."""

from pathlib import Path
from typing import Annotated, TypeAlias, TypeVar

import json5
import msgspec

PositiveInt: TypeAlias = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat: TypeAlias = Annotated[float, msgspec.Meta(gt=0)]
# A number that may be zero, such as a duration or a count.
Amount: TypeAlias = Annotated[float, msgspec.Meta(ge=0)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
Share: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=1)]


class StandInSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings that every stand-in has.

    Attributes:
        port: TCP port on 127.0.0.1; 0 lets the system choose.
        control_port: TCP port for faults and counters; 0 lets the system choose.
        threads: Most requests handled at once; a waiting stream occupies one.
    """

    port: int = 0
    control_port: int = 0
    threads: PositiveInt = 128


S = TypeVar("S", bound=StandInSettings)


class SettingsError(ValueError):
    """A settings file cannot be used."""


def load_settings(path: Path, settings_type: type[S]) -> S:
    """Reads a settings file.

    Args:
        path: File with JSON, comments allowed.
        settings_type: Type of the settings.

    Returns:
        The checked settings.

    Raises:
        SettingsError: If the file cannot be read; names the file, the key and the
            allowed keys.
    """
    allowed = ", ".join(settings_type.__struct_fields__)
    try:
        return msgspec.convert(json5.loads(path.read_text()), settings_type)
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}; allowed keys: {allowed}") from error
