"""Decisions to send, delay or reject requests by load."""
