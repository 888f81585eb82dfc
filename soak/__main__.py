"""Run seeds of the soak or check that it detects the broken variants."""

import argparse
import asyncio
from dataclasses import asdict
import json
import logging
from pathlib import Path
import sys
import tempfile

from soak.run import Report
from soak.run import SoakRun
from soak.schedule import Fault
from soak.variants import VARIANTS_BY_NAME

DEFAULT_LENGTH_S = 20.0
# A variant that is not detected with this many seeds is reported as missed.
MAX_SEEDS_PER_VARIANT = 10


def run_seed(
    seed: int,
    length_s: float,
    variant: str,
    logs: Path,
    has_ending_request: bool = False,
) -> Report:
    """Run one seed and return its report; write logs to a subdirectory."""
    directory = logs / f'{seed}{variant and "-" + variant}'
    directory.mkdir(parents=True, exist_ok=True)
    run = SoakRun(seed, variant, directory, has_ending_request)
    return asyncio.run(run.run(length_s))


def _to_json_value(value: object) -> object:
    return getattr(value, 'value', str(value))


def _describe_fault(fault: Fault) -> str:
    return f'{fault.at_s:5.1f} {fault.lasts_s:4.1f} s  {fault.kind.value}'


def print_report(report: Report, as_json: bool) -> None:
    """Print a report as text or as a line of JSON."""
    if as_json:
        print(json.dumps(asdict(report), default=_to_json_value), flush=True)
        return
    name = f'seed {report.seed} {report.variant}'.rstrip()
    found = len(report.violations)
    print(
        f'{name}: {report.calls} calls, {report.answered} answered,'
        f' {report.runs} runs, {len(report.schedule)} faults,'
        f' {found} broken promises',
        flush=True,
    )
    if not found:
        return
    for violation in report.violations:
        print(f'  {violation.promise}: {violation.detail}')
    for fault in report.schedule:
        print(f'  {_describe_fault(fault)}')


def check_variants(options: argparse.Namespace, logs: Path) -> int:
    """Run seeds of each variant; return the number of undetected variants."""
    undetected = 0
    for variant in options.variants or VARIANTS_BY_NAME:
        found: set[str] = set()
        seed = 0
        while not found and seed < MAX_SEEDS_PER_VARIANT:
            seed += 1
            report = run_seed(
                seed, options.seconds, variant, logs, options.ending_request
            )
            found = {violation.promise for violation in report.violations}
        names = ', '.join(sorted(found))
        text = f'found at seed {seed}: {names}' if found else 'NOT FOUND'
        print(f'{variant}: {text}', flush=True)
        undetected += not found
    return undetected


def _parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=1, help='number of seeds')
    parser.add_argument('--seconds', type=float, default=DEFAULT_LENGTH_S)
    parser.add_argument('--json', action='store_true', help='lines of JSON')
    parser.add_argument('--logs', type=Path, help='directory of the logs')
    parser.add_argument(
        '--variants',
        nargs='*',
        choices=list(VARIANTS_BY_NAME),
        help='check that broken variants are detected, all or those named',
    )
    parser.add_argument(
        '--variant',
        default='',
        choices=list(VARIANTS_BY_NAME),
        help='run the seeds with one broken variant',
    )
    parser.add_argument(
        '--ending-request',
        action=argparse.BooleanOptionalAction,
        default=True,
        help='send a request that ends the servers which run it',
    )
    return parser.parse_args()


def main() -> int:
    """Run the command line; return 1 for a violation or a missed variant."""
    options = _parse_options()
    # The record holds everything that the stand-ins' access logs report.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    logs = options.logs or Path(tempfile.mkdtemp(prefix='soak-'))
    if options.variants is not None:
        return 1 if check_variants(options, logs) else 0
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        report = run_seed(
            seed,
            options.seconds,
            options.variant,
            logs,
            options.ending_request,
        )
        print_report(report, options.json)
        broken += bool(report.violations)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
