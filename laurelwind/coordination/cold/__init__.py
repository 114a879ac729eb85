"""Endpoints that take few requests while they warm up."""
