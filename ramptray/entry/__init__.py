"""The entry process: callers' requests and their dispatch."""
