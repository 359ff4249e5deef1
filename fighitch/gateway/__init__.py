"""The gateway entry and engine agent processes."""
