"""Programs of the direct path: the gateway entry and the engine agent."""
