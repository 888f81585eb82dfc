"""Run one stand-in: python -m jackdawfield.standins KIND PORT [OPTIONS]."""

import argparse
import asyncio
import importlib
import json
import sys

from jackdawfield.standins.base import serve

KINDS = ('table', 'objects', 'instances', 'engine', 'service')


def main() -> int:
    """Run the stand-in of the given kind."""
    parser = argparse.ArgumentParser(prog='standins')
    parser.add_argument('kind', choices=KINDS)
    parser.add_argument('port', type=int)
    parser.add_argument(
        '--set', default='{}', help='fields of its state as JSON'
    )
    options = parser.parse_args()
    module = importlib.import_module(f'jackdawfield.standins.{options.kind}')
    state = module.State(**json.loads(options.set))
    asyncio.run(serve(state, module.ROUTES, options.port))
    return 0


if __name__ == '__main__':
    sys.exit(main())
