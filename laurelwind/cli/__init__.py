"""Command-line tools ``laurelwind`` and ``laurelwindd``."""
