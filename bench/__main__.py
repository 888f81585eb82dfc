"""Run every bench and exit with 1 if a bound is missed."""

import importlib
import pkgutil
import sys

import bench


def main() -> int:
    """Run the benches in the order of their names; return the exit code."""
    missed: list[str] = []
    for module in sorted(pkgutil.iter_modules(bench.__path__), key=str):
        if module.name.startswith('_') or not module.name.startswith('run_'):
            continue
        run = importlib.import_module(f'bench.{module.name}').run
        missed.extend(run())
    for line in missed:
        print(f'bound missed: {line}')
    return 1 if missed else 0


if __name__ == '__main__':
    sys.exit(main())
