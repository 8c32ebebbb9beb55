"""Stand-in of the users' store: keyed topics, waiting reads, faults."""
