"""HTTP relay: routes requests by host and path, forwards bodies unchanged."""
