"""The controller process: orders to engines under a lease."""
