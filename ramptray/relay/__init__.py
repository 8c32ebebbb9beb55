"""Callers' requests relayed byte for byte, routed by host and path."""
