"""Findings on a configuration before it is published."""
