"""Run all unit tests and tolerate the failures that KNOWN-RED.txt lists."""

from pathlib import Path
import sys
import unittest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED_PATH = ROOT / 'KNOWN-RED.txt'


def read_known_red_ids() -> set[str]:
    """Return the ids of tests that KNOWN-RED.txt lists."""
    if not KNOWN_RED_PATH.exists():
        return set()
    lines = KNOWN_RED_PATH.read_text(encoding='utf-8').splitlines()
    return {
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    }


def main() -> int:
    """Run the tests and return the process exit code."""
    sys.path.insert(0, str(ROOT))
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / 'tests'), top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failures_and_errors = result.failures + result.errors
    red_ids = {test.id() for test, _ in failures_and_errors}
    known_red_ids = read_known_red_ids()
    for test_id in sorted(red_ids & known_red_ids):
        print(f'known red: {test_id}')
    unexpected_ids = red_ids - known_red_ids
    failed_count = len(unexpected_ids) + len(result.unexpectedSuccesses)
    passed_count = result.testsRun - len(red_ids)
    print(f'{passed_count} passed, {failed_count} failed')
    return 1 if failed_count else 0


if __name__ == '__main__':
    sys.exit(main())
