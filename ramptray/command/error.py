"""Errors of the operators' command that a user can mend."""

from __future__ import annotations


class CommandError(Exception):
    """The command could not do its work; the text says why."""
