"""Model and rules: no sockets, files, timers, threads or clock."""
