"""Sockets, timers, HTTP server and HTTP client that connect a core to the network."""
