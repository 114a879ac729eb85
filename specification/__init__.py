"""Specifications of the coordination protocols for the model checker."""
