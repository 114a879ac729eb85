"""Stand-ins for the platform and the endpoints, with fault switches."""
