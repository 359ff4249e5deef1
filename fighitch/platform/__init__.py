"""Translation between the users' platform and the project.

Only this package knows the platform's names. It decides nothing: each module decodes
what the platform says into types of the project, or encodes what the project says.
"""
