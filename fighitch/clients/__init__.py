"""Blocking HTTP clients for the object API and the instance list."""
