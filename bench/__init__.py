"""Starts small deployments on loopback, for the demo, tests and benchmarks."""
