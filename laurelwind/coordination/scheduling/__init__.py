"""Scheduling: which endpoint serves a request, how long it may be silent.

Nothing here uses the network, files or threads.  The path of a decision:

1. ``placement`` computes the cost of each ready endpoint in seconds, from the
   ``endpoint_states``: queue, occupancy, zone, class, latency, expected loss.
   Endpoints that asked for a pause are left out; silent ones are avoided.
2. It takes the cheapest, or the one that has the prompt's prefix within the
   time that the prefix saves.  Where endpoints report their pace,
   ``paced_placement`` compares the forecasts of a few random ones instead.
3. ``silence`` derives from recent waits the time after which a request may
   leave an endpoint that has sent nothing.
4. ``fleet_retry_budget`` holds the retries of a further attempt, or refuses it.
5. ``observations`` update the ``endpoint_states``; losses are sent to peers.
"""
