"""Sockets, timers, HTTP server and HTTP transfers around the core."""
