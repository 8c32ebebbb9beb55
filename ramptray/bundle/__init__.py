"""The operators' bundle: its model, its signatures and its checks."""
