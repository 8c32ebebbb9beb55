"""A stand-in for a model engine."""
