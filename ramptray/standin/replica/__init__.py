"""Stand-in of the users' replicas, with injectable faults."""
