"""ramptray: a request scheduler for heterogeneous model engines."""

__version__ = "0.1.0"
