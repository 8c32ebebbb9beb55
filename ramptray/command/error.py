"""Errors of the operators' command that its user can correct."""

from __future__ import annotations


class CommandError(Exception):
    """The command failed; the message is shown to the user as one line."""
