"""Translation between the users' platform and the project.

Only this package knows the platform's names. Nothing here decides anything: each module decodes what the platform says into types of
the project, or encodes what the project says to the platform.
"""
