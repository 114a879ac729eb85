"""A randomized soak of relay daemons as separate processes."""
