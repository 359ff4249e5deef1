"""Protocols that a sidecar speaks to its backend server."""
