"""Protocols between a sidecar and its backend server."""
