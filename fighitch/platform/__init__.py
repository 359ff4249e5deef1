"""Codecs for the interfaces of the users' platform.

Only this package knows the platform's names. It contains no decision logic: its modules
decode the platform's data into types of the project and encode those for it.
"""
