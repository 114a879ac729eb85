"""Rendezvous hashing, which daemons compute alike without talking."""

import xxhash


def compute_rendezvous_hash(key: str, name: str) -> int:
    """Return the rank of a candidate for a key; the highest one is chosen.

    :param key: key that all daemons map to the same candidate.
    :param name: name of the candidate.
    """
    return xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
