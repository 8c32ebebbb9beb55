"""Client of the append-only log service and what stands beside it."""
