"""ramptray: a request scheduler for unlike model engines."""

__version__ = "0.1.0"
