"""The long-running processes: entry and sidecar."""
