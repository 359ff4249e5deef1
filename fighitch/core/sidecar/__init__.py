"""Sidecar logic without I/O: admission, adapter slots, loads, orders, responses."""

from fighitch.core.sidecar.core import SidecarCore
from fighitch.core.sidecar.settings import SidecarSettings

__all__ = ["SidecarCore", "SidecarSettings"]
