"""Generates the OpenAPI document of an interface from its resources."""

import inspect
import re
from collections.abc import Sequence
from typing import Any, Final

from laurelwind.errors import ErrorAnswer
from laurelwind.release import RELEASE
from laurelwind.state.schema import SchemaBuilder
from laurelwind.transport.application import Resource

_OPENAPI_VERSION: Final = '3.1.0'
_SCHEMA_PREFIX: Final = '#/components/schemas/'
_PATH_PARAMETER: Final = re.compile('{([a-z_]+)}')
_JSON_TYPE: Final = 'application/json'


def build_openapi(
    resources: Sequence[Resource], *, title: str
) -> dict[str, Any]:
    """Build an OpenAPI document.

    :param resources: resources of the interface.
    :param title: title of the document.
    """
    builder = SchemaBuilder(prefix=_SCHEMA_PREFIX, is_strict=False)
    paths = {
        resource.path: _describe_resource(resource, builder)
        for resource in resources
    }
    return {
        'openapi': _OPENAPI_VERSION,
        'info': {'title': title, 'version': RELEASE},
        'paths': paths,
        'components': {
            'schemas': builder.definitions,
            'securitySchemes': {
                'operator': {'type': 'http', 'scheme': 'bearer'}
            },
        },
    }


def _describe_resource(
    resource: Resource, builder: SchemaBuilder
) -> dict[str, Any]:
    description: dict[str, Any] = {}
    names = _PATH_PARAMETER.findall(resource.path)
    if names:
        description['parameters'] = [
            _describe_path_parameter(name) for name in names
        ]
    for method, serve_method in resource.methods.items():
        answer_type = resource.answers.get(method)
        doc = inspect.getdoc(serve_method) or ''
        operation: dict[str, Any] = {
            'summary': doc.split('\n', maxsplit=1)[0],
            'responses': {
                '200': _describe_answer(answer_type, builder),
                'default': _describe_answer(
                    ErrorAnswer, builder, is_error=True
                ),
            },
        }
        if resource.requires_key:
            operation['security'] = [{'operator': []}]
        if resource.query_names:
            operation['parameters'] = [
                {'name': name, 'in': 'query', 'schema': {'type': 'string'}}
                for name in resource.query_names
            ]
        description[method.lower()] = operation
    return description


def _describe_path_parameter(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': {'type': 'string'},
    }


def _describe_answer(
    answer_type: type | None, builder: SchemaBuilder, *, is_error: bool = False
) -> dict[str, Any]:
    if answer_type is None:
        return {'description': 'The answer.'}
    schema = builder.build(answer_type)
    if is_error:
        schema = {
            'type': 'object',
            'properties': {'error': schema},
            'required': ['error'],
        }
    doc = (answer_type.__doc__ or '').split('\n', maxsplit=1)[0]
    return {'description': doc, 'content': {_JSON_TYPE: {'schema': schema}}}
