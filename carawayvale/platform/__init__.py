"""Names, formats and store calls of the users' platform.

The package only translates; all decisions are made in other packages.
"""
