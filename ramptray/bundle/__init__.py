"""The operators' bundle: models, signatures and validation."""
