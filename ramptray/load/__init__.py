"""Load generator: sends seeded load and reports the results."""
