"""Generates JSON Schema from attrs classes."""

import enum
import types
from collections.abc import Mapping, Sequence
from typing import Any, Final, Union, get_args, get_origin, get_type_hints

import attrs

_DIALECT: Final = 'https://json-schema.org/draft/2020-12/schema'
_PLAIN_SCHEMAS: Final[Mapping[Any, Mapping[str, Any]]] = {
    str: {'type': 'string'},
    int: {'type': 'integer'},
    float: {'type': 'number'},
    bool: {'type': 'boolean'},
    Any: {},
    object: {},
}


class SchemaBuilder:
    """Builds JSON Schemas of types and collects class definitions.

    :param prefix: prefix of references to the definitions.
    :param is_strict: forbid fields that the class does not have.
    """

    def __init__(self, *, prefix: str, is_strict: bool) -> None:
        self.definitions: dict[str, Any] = {}
        self._prefix = prefix
        self._is_strict = is_strict

    def build(self, type_: Any) -> dict[str, Any]:
        """Build the schema of a type.

        :param type_: an attrs class, an enum, a plain type or a generic.
        :raises TypeError: if the type has no JSON equivalent.
        """
        plain_schema = _PLAIN_SCHEMAS.get(type_)
        if plain_schema is not None:
            return dict(plain_schema)
        if isinstance(type_, type) and attrs.has(type_):
            return self._build_reference(type_)
        if isinstance(type_, type) and issubclass(type_, enum.Enum):
            return {'enum': [member.value for member in type_]}
        return self._build_generic(type_)

    def _build_reference(self, type_: type) -> dict[str, Any]:
        name = type_.__name__
        if name not in self.definitions:
            self.definitions[name] = {}
            self.definitions[name] = self._build_class(type_)
        return {'$ref': f'{self._prefix}{name}'}

    def _build_class(self, type_: type) -> dict[str, Any]:
        hints = get_type_hints(type_)
        fields = [
            attribute for attribute in attrs.fields(type_) if attribute.init
        ]
        properties = {
            attribute.name: self._build_property(
                type_, attribute.name, hints[attribute.name]
            )
            for attribute in fields
        }
        schema: dict[str, Any] = {
            'type': 'object',
            'description': (type_.__doc__ or '').split('\n', maxsplit=1)[0],
            'properties': properties,
            'required': [
                attribute.name
                for attribute in fields
                if attribute.default is attrs.NOTHING
            ],
        }
        if self._is_strict:
            schema['additionalProperties'] = False
        return schema

    def _build_property(
        self, type_: type, name: str, hint: Any
    ) -> dict[str, Any]:
        schema = self.build(hint)
        text = _find_description(type_.__doc__ or '', name)
        if text:
            schema['description'] = text
        return schema

    def _build_generic(self, type_: Any) -> dict[str, Any]:
        origin = get_origin(type_)
        arguments = get_args(type_)
        if origin is Mapping:
            return {
                'type': 'object',
                'additionalProperties': self.build(arguments[1]),
            }
        if origin is Sequence:
            return {'type': 'array', 'items': self.build(arguments[0])}
        if origin in {types.UnionType, Union}:
            return {'anyOf': [self.build(argument) for argument in arguments]}
        if type_ is types.NoneType:
            return {'type': 'null'}
        raise TypeError(f'no JSON Schema for type {type_}')


def build_schema(type_: type, *, title: str) -> dict[str, Any]:
    """Build a complete JSON Schema document for a class.

    :param type_: an attrs class.
    :param title: title of the document.
    """
    builder = SchemaBuilder(prefix='#/$defs/', is_strict=True)
    reference = builder.build(type_)
    return {
        '$schema': _DIALECT,
        'title': title,
        **reference,
        '$defs': builder.definitions,
    }


def _find_description(doc: str, name: str) -> str:
    """Return the description of a field from the docstring of its class."""
    marker = f':ivar {name}:'
    _, separator, rest = doc.partition(marker)
    if not separator:
        return ''
    text, _, _ = rest.partition(':ivar ')
    return ' '.join(text.split())
