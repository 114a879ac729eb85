"""Version number of this release."""

from typing import Final

RELEASE: Final = '0.1.0'
