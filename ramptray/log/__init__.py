"""Clients of the append-only log and readers of its streams."""
