"""Adapter between ramptray and the users' platform; contains no policy.

The platform's wire, store and settings names appear only in this package.
"""
