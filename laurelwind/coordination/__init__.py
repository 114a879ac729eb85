"""Request routing, and the state that daemons coordinate with each other."""
