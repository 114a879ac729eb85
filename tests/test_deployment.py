"""The deployed program imports only what its build installs."""

import re
import subprocess
import sys
from importlib import metadata
from pathlib import Path

REQUIREMENTS = Path(__file__).parent.parent / 'deploy' / 'requirements.txt'
LIST_IMPORTS = """
import sys
import laurelwind.platform.program
print(*{name.partition('.')[0] for name in sys.modules})
"""


def normalize(name):
    return re.sub(r'[-_.]+', '-', name).lower()


def list_installed(names):
    """Return distributions and what they require, as the build installs."""
    installed = set()
    pending = [normalize(name) for name in names]
    while pending:
        name = pending.pop()
        if name in installed:
            continue
        installed.add(name)
        try:
            required = metadata.requires(name) or ()
        except metadata.PackageNotFoundError:
            continue
        pending.extend(
            normalize(re.match(r'[\w.-]+', line).group())
            for line in required
            if 'extra ==' not in line
        )
    return installed


def test_every_import_of_the_daemon_is_required():
    names = re.findall(r'^([\w.-]+)', REQUIREMENTS.read_text(), re.MULTILINE)
    installed = list_installed(names)
    process = subprocess.run(
        [sys.executable, '-c', LIST_IMPORTS],
        check=True,
        capture_output=True,
        text=True,
        timeout=60,
    )
    owners = metadata.packages_distributions()
    imported = {
        normalize(owner)
        for module in process.stdout.split()
        for owner in owners.get(module, ())
    }
    allowed = installed | {'laurelwind', 'setuptools', 'pip'}
    assert imported <= allowed, imported - allowed
