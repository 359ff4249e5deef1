"""Data model and decision logic, free of I/O, timers, threads and clock access."""
