"""The deployed program imports only what its build installs."""

import json
import re
import subprocess
import sys
import tomllib
from importlib import metadata
from pathlib import Path

import pytest

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


SETTINGS = Path(__file__).parent.parent / 'deploy' / 'settings.toml'
SECTION = re.compile(r'{{#([\w.]+)}}(.*?){{/\1}}', re.DOTALL)


def render(template, facts):
    """Render the template as the platform does; unknown names become 1."""

    def render_section(match):
        fact = facts.get(match[1])
        entries = fact if isinstance(fact, dict) else {'': fact}
        return ''.join(
            match[2]
            .replace('{{@}}', str(key))
            .replace('{{.|json}}', json.dumps(entry))
            .replace('{{.}}', str(entry))
            for key, entry in entries.items()
            if fact is not None
        )

    text = SECTION.sub(render_section, template)
    text = re.sub(r'{{[\w.]+\|json}}', '"x"', text)
    return re.sub(r'{{[\w.]+}}', '1', text)


@pytest.mark.parametrize('has_facts', [True, False])
def test_the_template_gives_settings_with_and_without_facts(has_facts):
    """Guards against fields of one deployment that break another."""
    facts = {
        'bounds.contact_ms': 4000,
        'bounds.evacuate_ms': 5000,
        'bounds.cold_overage': 1.5,
        'bounds.cold_tolerance': 5,
        'zones': {'z-1': 'east', 'z-2': 'west'},
    }
    text = render(SETTINGS.read_text(), facts if has_facts else {})
    settings = tomllib.loads(text)
    if not has_facts:
        assert not settings['regions']
        assert 'evacuate_s' not in settings['bounds']
        assert 'contact_s' not in settings['bounds']
        return
    assert settings['regions'] == facts['zones']
    assert settings['bounds']['evacuate_s'] == 5
    assert settings['bounds']['contact_s'] == 4
    assert settings['bounds']['cold_overage'] == 1.5
    assert settings['bounds']['cold_tolerance'] == 5
