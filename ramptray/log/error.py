"""Errors of whatever keeps the log: the product's own or a platform's store."""


class LogError(Exception):
    """The log did not answer, or turned the call away."""


class LogTimeoutError(LogError):
    """No answer in time: the log may be silent, or the call was lost."""


class LogTrimmedError(LogError):
    """Records that were asked for are not kept any more."""
