"""Data types and state tables; imports no other layer of the package."""
