"""The command that demonstrates the request path on loopback."""

from pathlib import Path
from typing import Any, ClassVar

import anyio
import cattrs
from cleo.helpers import option
from cleo.io.inputs.option import Option

from laurelwind.cli.base import EXIT_OK, EXIT_REFUSED, JSON_OPTION, BaseCommand
from standins.fleet import LocalFleet
from standins.scenario import DemoReport, run_local_demo, run_process_demo


class DemoCommand(BaseCommand):
    """Runs the demo scenario with stand-ins and reports the results."""

    name = 'demo'
    description = 'Run the demo scenario with stand-ins and report the results.'
    options: ClassVar[list[Option]] = [
        option(
            'folder',
            None,
            'Use running daemons; folder of their ready files.',
            flag=False,
        ),
        option(
            'names',
            None,
            'Names of these daemons, comma-separated.',
            flag=False,
        ),
        JSON_OPTION,
    ]

    def run_command(self) -> int:
        """Run the demo; the exit code is 0 only if all checks pass."""
        folder = self.option('folder')
        if folder:
            names = (self.option('names') or '').split(',')
            report = anyio.run(run_process_demo, Path(folder), names)
        else:
            report = anyio.run(_run_in_process)
        self._show(report)
        return EXIT_OK if report.all_checks_passed else EXIT_REFUSED

    def _show(self, report: DemoReport) -> None:
        if self.option('json'):
            document: Any = cattrs.unstructure(report)
            self.show_json(document)
            return
        self.line('<info>Answers</info>')
        for line in report.answers:
            self.line(f'  {line}')
        self.line('<info>Charges</info>')
        for line in report.charges:
            self.line(f'  {line}')
        self.line('<info>Promises</info>')
        for promise, is_kept in report.checks:
            mark = '<info>held  </info>' if is_kept else '<error>BROKEN</error>'
            self.line(f'  {mark} {promise}')


async def _run_in_process() -> DemoReport:
    async with anyio.create_task_group() as group:
        report = await run_local_demo(LocalFleet(), group)
        group.cancel_scope.cancel()
    return report
