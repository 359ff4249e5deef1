"""Stand-ins that simulate the external systems fighitch connects to."""
