"""Checks of the fields of a routing table.

A field has an error if and only if the daemons' decoder rejects the table for
it. Fields that the decoder reads as something else than they look like have a
warning. Fields that it does not read are not checked: tables of later releases
may have them.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from laurelwind.state.configuration_check.findings import (
    MISSING,
    FieldPath,
    Finding,
    Severity,
    build_finding,
)
from laurelwind.state.configuration_check.table_format import (
    ENGINE_RULES,
    LIMIT_RULES,
    MODEL_RULES,
    ROUTE_RULES,
    SERVICE_RULES,
    SHARE_RULES,
    TABLE_RULES,
    TEXT,
    WORKSPACE_RULES,
    FieldRule,
    FieldRules,
)
from laurelwind.state.fields import STRUCTURE_ERRORS

_Row = Mapping[str, Any]
_EXPECTED_OBJECT: Final = 'expected an object'
_EXPECTED_LIST: Final = 'expected a list'


def check_table_fields(table: Any) -> Sequence[Finding]:
    """Check the fields of a routing table.

    :param table: the table as plain JSON types.
    """
    if not isinstance(table, Mapping):
        return (build_finding((), _EXPECTED_OBJECT, table),)
    checker = _FieldChecker()
    checker.check_table(table)
    return checker.findings


class _FieldChecker:
    """Collects the findings on the fields of a table."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []

    def check_table(self, table: _Row) -> None:
        self._check_fields((), table, TABLE_RULES)
        path = ('routes',)
        routes = table.get('routes', MISSING)
        if routes is MISSING or routes in (None, 0):
            self._add_error(path, _EXPECTED_LIST, routes)
        self._check_rows(path, routes, self._check_route)
        self._check_rows(
            ('services',), table.get('services'), self._check_service
        )
        self._check_rows(
            ('tenants',), table.get('tenants'), self._check_workspace
        )
        limits = self._read_object(('limits',), table.get('limits'))
        self._check_fields(('limits',), limits, LIMIT_RULES)

    def _check_route(self, path: FieldPath, row: _Row) -> None:
        self._check_fields(path, row, ROUTE_RULES)
        self._check_texts((*path, 'sizes'), row.get('sizes'))
        self._check_regions(path, row)
        if row.get('backends'):
            self._check_rows(
                (*path, 'backends'), row['backends'], self._check_share
            )
        else:
            self._check_field(path, row, 'service', TEXT)

    def _check_share(self, path: FieldPath, row: _Row) -> None:
        self._check_fields(path, row, SHARE_RULES)

    def _check_service(self, path: FieldPath, row: _Row) -> None:
        self._check_fields(path, row, SERVICE_RULES)
        path = (*path, 'engine')
        engine = self._read_object(path, row.get('engine'))
        self._check_fields(path, engine, ENGINE_RULES)
        self._check_rows(
            (*path, 'models'), engine.get('models'), self._check_model
        )

    def _check_model(self, path: FieldPath, row: _Row) -> None:
        self._check_fields(path, row, MODEL_RULES)

    def _check_workspace(self, path: FieldPath, row: _Row) -> None:
        self._check_fields(path, row, WORKSPACE_RULES)
        self._check_texts((*path, 'api_keys'), row.get('api_keys'))
        self._check_regions(path, row)

    def _check_regions(self, path: FieldPath, row: _Row) -> None:
        regions = row.get('allowed_regions')
        path = (*path, 'allowed_regions')
        if regions is None or isinstance(regions, list):
            self._check_texts(path, regions)
        else:
            self._add_error(path, _EXPECTED_LIST, regions)

    def _check_rows(
        self,
        path: FieldPath,
        rows: Any,
        check_row: Callable[[FieldPath, _Row], None],
    ) -> None:
        for index, row in enumerate(self._read_list(path, rows)):
            row_path = (*path, str(index))
            if isinstance(row, Mapping):
                check_row(row_path, row)
            else:
                self._add_error(row_path, _EXPECTED_OBJECT, row)

    def _check_texts(self, path: FieldPath, texts: Any) -> None:
        names = dict(enumerate(self._read_list(path, texts)))
        rules = dict.fromkeys(map(str, names), TEXT)
        fields = {str(index): text for index, text in names.items()}
        self._check_fields(path, fields, rules)

    def _read_list(self, path: FieldPath, rows: Any) -> Sequence[Any]:
        if isinstance(rows, list):
            return rows
        self._check_empty(path, rows, _EXPECTED_LIST)
        return ()

    def _read_object(self, path: FieldPath, row: Any) -> _Row:
        if isinstance(row, Mapping):
            return row
        self._check_empty(path, row, _EXPECTED_OBJECT)
        return {}

    def _check_empty(self, path: FieldPath, field: Any, expected: str) -> None:
        """Check a field of another type, which is read as empty if it is."""
        if field is MISSING:
            return
        if field:
            self._add_error(path, expected, field)
        elif field is not None:
            self._add_warning(path, f'{expected}; it is read as empty', field)

    def _check_fields(
        self, path: FieldPath, row: _Row, rules: FieldRules
    ) -> None:
        for name, rule in rules.items():
            self._check_field(path, row, name, rule)

    def _check_field(
        self, path: FieldPath, row: _Row, name: str, rule: FieldRule
    ) -> None:
        field = row.get(name, MISSING)
        path = (*path, name)
        if field is MISSING:
            if rule.is_required:
                self._add_error(path, rule.type.expected, field)
            return
        if field is None and (rule.is_nullable or rule.is_defaulted):
            return
        if not field and rule.is_defaulted:
            if not rule.type.is_usual(field):
                self._add_reading(path, field, rule, 'the default')
            return
        self._check_type(path, field, rule)

    def _check_type(self, path: FieldPath, field: Any, rule: FieldRule) -> None:
        try:
            parsed = rule.type.parse(field)
        except STRUCTURE_ERRORS:
            self._add_error(path, rule.type.expected, field)
            return
        if not rule.type.is_usual(field):
            self._add_reading(path, field, rule, str(parsed))

    def _add_error(self, path: FieldPath, expected: str, field: Any) -> None:
        self.findings.append(build_finding(path, expected, field))

    def _add_warning(self, path: FieldPath, expected: str, field: Any) -> None:
        self.findings.append(
            build_finding(path, expected, field, severity=Severity.WARNING)
        )

    def _add_reading(
        self, path: FieldPath, field: Any, rule: FieldRule, reading: str
    ) -> None:
        expected = rule.type.expected
        self._add_warning(path, f'{expected}; it is read as {reading}', field)
