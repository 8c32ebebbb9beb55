"""The scheduler process: shards, membership and the bundle."""
