"""One program on each entry VM: callers' relay and scheduler together."""
