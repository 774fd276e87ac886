"""Syntax of names that operators choose."""

import re

NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?")
NAME_DESCRIPTION = "1 to 64 lower-case letters, digits and inner hyphens"


def is_valid_name(value: str) -> bool:
    """Return whether `value` is a valid name of a customer, team, VM, region or domain."""
    return NAME_PATTERN.fullmatch(value) is not None
