"""Roll-outs of versions: phases, evidence, and their exchange."""
