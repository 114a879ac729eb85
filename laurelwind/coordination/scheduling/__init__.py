"""Scheduling: which endpoint serves a request, how long it may be silent.

Nothing here uses the network, files or threads.  The path of a decision:

1. ``placement`` computes the cost of each ready endpoint in seconds, from the
   ``endpoint_states``: queue, occupancy, zone, class, latency, expected loss.
2. It takes the cheapest, or the one that has the prompt's prefix within the
   time that the prefix saves.
3. ``silence`` bounds the wait for the first byte by recent waits.
4. ``fleet_retry_budget`` allows or refuses a further attempt.
5. Outcomes update the ``endpoint_states``; peers are told of losses.
"""
