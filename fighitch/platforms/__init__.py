"""Clients of the platform: object API and instance list."""
