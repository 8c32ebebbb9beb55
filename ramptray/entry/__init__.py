"""The entry process: dispatches requests to backend servers."""
