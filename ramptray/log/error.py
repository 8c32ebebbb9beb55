"""Errors of a log: ramptray's own or a platform's store."""


class LogError(Exception):
    """The log did not answer, or rejected the call."""


class LogTimeoutError(LogError):
    """The log did not answer in time; the log may be down or the call lost."""


class LogTrimmedError(LogError):
    """Some of the requested records are no longer retained."""
