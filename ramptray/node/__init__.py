"""The program of an entry VM: HTTP relay and scheduler in one process."""
