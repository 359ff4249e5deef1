"""Reads new versions of the configuration from the objects of the store."""

import msgspec

from fighitch.core.gateway.model import Configuration
from fighitch.gateway.store_watch import UnreadableObjectError
from fighitch.observability.bounded_log import BoundedLog
from fighitch.platform.configuration import CONFIGURATION_NAME, decode_configuration
from fighitch.platform.store import StoredObject


def read_configuration(
    item: StoredObject, current: Configuration | None, log: BoundedLog
) -> Configuration | None:
    """Returns the configuration of an object if it is newer than the current one.

    Args:
        item: Object of the kind of configurations.
        current: Configuration in force; None if there is none.
        log: Log for new, outdated and unreadable configurations.

    Raises:
        UnreadableObjectError: If the configuration is not valid.
    """
    if item.name != CONFIGURATION_NAME or item.removed:
        return None
    try:
        configuration = decode_configuration(item.content)
    except msgspec.DecodeError as error:
        log.event("configuration_unreadable", detail=error)
        raise UnreadableObjectError from error
    if current is not None and configuration.version <= current.version:
        if configuration.version < current.version:
            log.event(
                "configuration_outdated",
                version=configuration.version,
                current=current.version,
                revision=item.revision,
            )
        return None
    log.event(
        "configuration_applied",
        version=configuration.version,
        revision=item.revision,
        routes=len(configuration.routes),
    )
    return configuration
