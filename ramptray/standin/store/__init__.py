"""Stand-in of the users' store: keyed topics, long polling, faults."""
