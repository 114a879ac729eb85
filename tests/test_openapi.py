"""Checks the OpenAPI document against a running daemon."""

from pathlib import Path

import jsonschema
import orjson
import pytest

from laurelwind.cli.configuration import build_configuration_schema
from standins.documents import SMALL_VERSION, build_document
from standins.fleet import OPERATOR_KEY, run_fleet
from tests.helpers import publish_demo_configuration

pytestmark = pytest.mark.anyio
SCHEMAS = Path(__file__).parent.parent / 'laurelwind' / 'schemas'


def read_schema(name):
    return orjson.loads((SCHEMAS / name).read_bytes())


async def test_every_operation_answers_as_described():
    async with run_fleet(zones='a') as fleet:
        (address,) = await publish_demo_configuration(fleet)
        daemon = fleet.daemons['a0']
        admin = daemon.admin_server.address
        document_answer = await fleet.caller.request(
            'GET', f'{admin}/openapi.json'
        )
        document = document_answer.read_json()
        assert document == read_schema('openapi.json')
        chat_answer = await fleet.caller.request(
            'POST',
            f'{address}/v1/chat/completions',
            key='key-of-kandyan-lanka',
            body={
                'model': 'draft',
                'messages': [{'role': 'user', 'content': 'x'}],
            },
        )
        path_parameters = {
            '{trace_id}': chat_answer.headers['x-trace-id'],
            '{reference}': SMALL_VERSION,
        }
        bodies = {
            ('post', '/admin/v1/configuration'): build_document(
                fleet.standins.addresses
            ),
            ('put', '/admin/v1/versions/{reference}/state'): {
                'state': 'draining'
            },
        }
        checked = 0
        for path, operations in document['paths'].items():
            url = path
            for parameter, text in path_parameters.items():
                url = url.replace(parameter, text)
            for method in ('get', 'post', 'put'):
                if method not in operations:
                    continue
                offset = daemon.follower.status.offset
                query = f'?base={offset}' if method == 'post' else ''
                answer = await fleet.caller.request(
                    method.upper(),
                    f'{admin}{url}{query}',
                    key=OPERATOR_KEY,
                    body=bodies.get((method, path)),
                )
                assert answer.status == 200, (path, answer.body)
                check_answer(document, operations[method], '200', answer)
                if operations[method].get('security'):
                    refused = await fleet.caller.request(
                        method.upper(), f'{admin}{url}', key='wrong'
                    )
                    assert refused.status == 401, path
                    check_answer(
                        document, operations[method], 'default', refused
                    )
                checked += 1
        assert checked >= 11


async def test_a_method_that_is_not_described_is_rejected():
    async with run_fleet(zones='a') as fleet:
        admin = fleet.daemons['a0'].admin_server.address
        for path in read_schema('openapi.json')['paths']:
            answer = await fleet.caller.request('DELETE', f'{admin}{path}')
            assert answer.status == 405, path


def check_answer(document, operation, status, answer):
    content = operation['responses'][status].get('content')
    if content is None:
        return
    schema = content['application/json']['schema']
    jsonschema.validate(
        answer.read_json(), {**schema, 'components': document['components']}
    )


def test_the_committed_schema_is_the_generated_one():
    assert read_schema('configuration.json') == build_configuration_schema()


def test_the_schema_accepts_the_demo_document_and_rejects_an_unknown_field():
    addresses = {
        f'engine{index}': f'127.0.0.1:{9000 + index}' for index in range(3)
    }
    document = build_document({**addresses, 'plain': '127.0.0.1:9100'})
    schema = build_configuration_schema()
    jsonschema.validate(document, schema)
    document['workspaces']['hallmark']['colour'] = 'gold'
    with pytest.raises(jsonschema.ValidationError):
        jsonschema.validate(document, schema)
