"""Blocking clients of the object API and the instance list."""
