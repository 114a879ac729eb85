"""Messages, their codecs, and the interfaces of external systems."""
