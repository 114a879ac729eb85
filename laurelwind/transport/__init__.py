"""Network interfaces to callers, operators, endpoints, peers and platform."""
