"""Stand-in of the users' replicas, with the faults they may have."""
