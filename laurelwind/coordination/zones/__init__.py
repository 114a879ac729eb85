"""Availability zones that operators evacuate."""
