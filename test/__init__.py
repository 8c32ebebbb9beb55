"""Tests of ramptray."""
