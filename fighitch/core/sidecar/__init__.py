"""Decisions of the sidecar: admission, adapter slots, loads, orders, answers."""

from fighitch.core.sidecar.core import SidecarCore
from fighitch.core.sidecar.settings import SidecarSettings

__all__ = ["SidecarCore", "SidecarSettings"]
