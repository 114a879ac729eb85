"""Rate limits of endpoints, kept by all daemons together."""
