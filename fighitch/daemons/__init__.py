"""The daemon processes of an entry and of a sidecar."""
