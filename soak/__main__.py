"""Plays seeds of the soak, or looks for broken variants with it."""

import argparse
import asyncio
from dataclasses import asdict
import json
import logging
from pathlib import Path
import sys
import tempfile

from soak.run import Report
from soak.run import Soak
from soak.schedule import Fault
from soak.variants import VARIANTS_BY_NAME

LENGTH_S = 20.0
# A variant that this many seeds do not find was not found.
SEEDS_A_VARIANT = 10


def play(seed: int, length_s: float, variant: str, logs: Path) -> Report:
    """Play one seed and return its report; its logs go to a directory."""
    directory = logs / f'{seed}{variant and "-" + variant}'
    directory.mkdir(parents=True, exist_ok=True)
    return asyncio.run(Soak(seed, variant, directory).play(length_s))


def _plain(value: object) -> object:
    return getattr(value, 'value', str(value))


def _describe(fault: Fault) -> str:
    return f'{fault.at_s:5.1f} {fault.lasts_s:4.1f} s  {fault.kind.value}'


def show(report: Report, as_json: bool) -> None:
    """Print a report as text or as a line of JSON."""
    if as_json:
        print(json.dumps(asdict(report), default=_plain), flush=True)
        return
    name = f'seed {report.seed} {report.variant}'.rstrip()
    found = len(report.violations)
    print(
        f'{name}: {report.calls} calls, {report.answered} answered,'
        f' {report.runs} runs, {len(report.schedule)} faults,'
        f' {found} broken',
        flush=True,
    )
    if not found:
        return
    for violation in report.violations:
        print(f'  {violation.promise}: {violation.detail}')
    for fault in report.schedule:
        print(f'  {_describe(fault)}')


def find_variants(options: argparse.Namespace, logs: Path) -> int:
    """Play each broken variant until it is found; return how many are not."""
    missed = 0
    for variant in options.variants or VARIANTS_BY_NAME:
        found: set[str] = set()
        seed = 0
        while not found and seed < SEEDS_A_VARIANT:
            seed += 1
            report = play(seed, options.seconds, variant, logs)
            found = {violation.promise for violation in report.violations}
        names = ', '.join(sorted(found))
        text = f'found at seed {seed}: {names}' if found else 'NOT FOUND'
        print(f'{variant}: {text}', flush=True)
        missed += not found
    return missed


def main() -> int:
    """Run the command line; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='how many')
    parser.add_argument('--seconds', type=float, default=LENGTH_S)
    parser.add_argument('--json', action='store_true', help='lines of JSON')
    parser.add_argument('--logs', type=Path, help='where the logs stay')
    parser.add_argument(
        '--variants',
        nargs='*',
        choices=list(VARIANTS_BY_NAME),
        help='look for broken variants, all or those named',
    )
    parser.add_argument(
        '--variant',
        default='',
        choices=list(VARIANTS_BY_NAME),
        help='play the seeds with one broken variant',
    )
    options = parser.parse_args()
    # The stand-ins' own access lines say nothing that the record lacks.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    logs = options.logs or Path(tempfile.mkdtemp(prefix='soak-'))
    if options.variants is not None:
        return 1 if find_variants(options, logs) else 0
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        report = play(seed, options.seconds, options.variant, logs)
        show(report, options.json)
        broken += bool(report.violations)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
