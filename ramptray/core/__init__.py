"""The decision core: deterministic, without I/O or access to the clock."""
