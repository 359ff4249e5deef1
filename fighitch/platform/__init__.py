"""Codecs for the interfaces of the users' platform.

Only this package knows the platform's names. Its modules contain no decision logic;
they convert between the platform's formats and the types of the project.
"""
