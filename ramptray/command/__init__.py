"""The operators' command line, with one module for each command."""
