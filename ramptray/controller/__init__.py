"""The controller process: sends orders to engines while it holds a lease."""
