"""The decision core: plain objects with no sockets, clock or randomness."""
