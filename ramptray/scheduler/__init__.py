"""The scheduler process: shards, membership and bundle distribution."""
