"""The adapter to the users' platform: its store, documents and headers."""
