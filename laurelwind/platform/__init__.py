"""Adapter to the platform's store, documents and headers."""
