"""The client side of the platform: log, VM list and weight store."""
