"""The load tool: seeded load with a report."""
