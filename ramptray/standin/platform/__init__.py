"""A stand-in for the platform's services."""
