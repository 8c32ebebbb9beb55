"""The HTTP interface for callers."""
