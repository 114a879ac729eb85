"""What crashes endpoints: evidence, gossip, and rejected requests."""
