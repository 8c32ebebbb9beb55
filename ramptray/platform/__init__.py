"""Translates between ramptray and the users' platform; decides nothing.

No name of the platform's wire, store or settings is known outside this package.
"""
