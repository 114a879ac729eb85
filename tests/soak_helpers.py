"""Parts of a fault soak without processes, for tests of its checks."""

from soak.daemons import Daemon


def build_daemon(folder):
    return Daemon(
        name='d0',
        zone='a',
        folder=folder,
        store='127.0.0.1:1',
        host='127.0.0.1',
    )
