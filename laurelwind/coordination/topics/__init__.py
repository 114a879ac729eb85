"""Topics of the store: incremental reads, and copies that peers read."""
