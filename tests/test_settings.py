"""Valid and invalid settings files."""

import pytest

from laurelwind.errors import ConfigurationError
from laurelwind.settings import parse_settings
from standins.fleet import LocalFleet, Standins

ADDRESSES = {
    'log': '127.0.0.1:1',
    'instances': '127.0.0.1:2',
    'ratings': '127.0.0.1:3',
}


def write_valid_settings():
    fleet = LocalFleet(standins=Standins(addresses=dict(ADDRESSES)))
    return fleet.render_settings('a0', 'a')


def list_fault_paths(text):
    with pytest.raises(ConfigurationError) as raised:
        parse_settings(text)
    return {fault.path for fault in raised.value.faults}


def test_a_valid_file_is_accepted():
    settings = parse_settings(write_valid_settings())
    assert settings.daemon.name == 'a0'
    assert settings.limits.append_interval_s > 0


def test_all_fields_of_a_wrong_type_are_reported_together():
    text = write_valid_settings().replace('zone = "a"', 'zone = 7')
    text = text.replace('name = "a0"', '')
    text = text.replace(
        '[limits]', '[limits]\nappend_interval_s = "fast"\ncolour = "red"'
    )
    paths = list_fault_paths(text)
    assert 'daemon.zone' in paths
    assert any('limits' in path for path in paths)
    assert any(path.startswith('daemon') for path in paths)


def test_all_invalid_numbers_and_addresses_are_reported_together():
    text = write_valid_settings().replace(
        'log = "127.0.0.1:1"', 'log = "log.example:1"'
    )
    text = text.replace(
        '[limits]', '[limits]\nappend_interval_s = 0\nstop_timeout_s = -1'
    )
    text += '\n[tls]\ncertificate = "a.pem"\n'
    assert list_fault_paths(text) == {
        'platform.log',
        'limits.append_interval_s',
        'limits.stop_timeout_s',
        'tls',
    }


def test_a_file_that_is_not_toml_is_refused():
    with pytest.raises(ConfigurationError, match='not TOML'):
        parse_settings('[daemon')


def test_secrets_are_not_in_the_settings_representation():
    text = (
        write_valid_settings()
        + '\n[credentials]\nengines = "a-secret-of-engines"\n'
    )
    settings = parse_settings(text)
    representation = repr(settings)
    assert 'a-secret-of-engines' not in representation
    for key in settings.keys.peers:
        assert key.secret not in representation
    for secret in settings.keys.sessions:
        assert secret not in representation


# Texts and truth values passed as numbers.
@pytest.mark.parametrize('number', ['"8"', 'true', '"0.5"'])
def test_a_number_is_not_read_from_another_type(number):
    text = write_valid_settings().replace(
        '[limits]', f'[limits]\nstop_timeout_s = {number}'
    )
    assert list_fault_paths(text) == {'limits.stop_timeout_s'}
