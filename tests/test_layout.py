"""Test the size of functions and modules, and who may import whom."""

import ast
from collections.abc import Iterator
from pathlib import Path
import unittest

ROOT = Path(__file__).resolve().parent.parent
CODE = ('jackdawfield', 'bench', 'scripts', 'soak')
MAX_FUNCTION_LINES = 50
MAX_MODULE_LINES = 500
# What the modules of a folder must not import.
FORBIDDEN = {
    'jackdawfield/decisions': (
        'jackdawfield.drivers',
        'jackdawfield.gateway',
        'jackdawfield.platform',
    ),
    'jackdawfield/messages': (
        'jackdawfield.drivers',
        'jackdawfield.gateway',
        'jackdawfield.platform',
    ),
    'jackdawfield/drivers': ('jackdawfield.gateway', 'jackdawfield.platform'),
    'jackdawfield/gateway': ('jackdawfield.platform', 'jackdawfield.standins'),
    'jackdawfield/gateway/http': (
        'jackdawfield.gateway.storage',
        'jackdawfield.gateway.fleet',
        'jackdawfield.gateway.rates',
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.servers',
        'jackdawfield.gateway.streams',
    ),
    'jackdawfield/gateway/storage': (
        'jackdawfield.gateway.fleet',
        'jackdawfield.gateway.rates',
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.servers',
        'jackdawfield.gateway.streams',
    ),
    'jackdawfield/gateway/fleet': (
        'jackdawfield.gateway.rates',
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.servers',
        'jackdawfield.gateway.streams',
    ),
    'jackdawfield/gateway/rates': (
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.servers',
        'jackdawfield.gateway.streams',
    ),
    'jackdawfield/gateway/servers': (
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.rates',
        'jackdawfield.gateway.streams',
    ),
    'jackdawfield/gateway/streams': (
        'jackdawfield.gateway.programs',
        'jackdawfield.gateway.rates',
    ),
}


def modules(folder: str) -> Iterator[tuple[Path, ast.Module]]:
    for path in sorted((ROOT / folder).rglob('*.py')):
        yield path, ast.parse(path.read_text(encoding='utf-8'))


class LayoutTest(unittest.TestCase):
    def test_functions_are_short(self) -> None:
        for folder in CODE:
            for path, tree in modules(folder):
                for node in ast.walk(tree):
                    if not isinstance(
                        node, ast.FunctionDef | ast.AsyncFunctionDef
                    ):
                        continue
                    lines = (node.end_lineno or 0) - node.lineno
                    name = f'{path.relative_to(ROOT)} {node.name}'
                    self.assertLessEqual(lines, MAX_FUNCTION_LINES, name)

    def test_modules_are_short(self) -> None:
        for path, _ in modules('jackdawfield'):
            lines = len(path.read_text(encoding='utf-8').splitlines())
            self.assertLessEqual(lines, MAX_MODULE_LINES, path.name)

    def test_imports_point_one_way(self) -> None:
        for folder, forbidden in FORBIDDEN.items():
            for path, tree in modules(folder):
                for node in ast.walk(tree):
                    if not isinstance(node, ast.ImportFrom):
                        continue
                    module = node.module or ''
                    is_forbidden = any(
                        module == name or module.startswith(f'{name}.')
                        for name in forbidden
                    )
                    text = f'{path.relative_to(ROOT)} imports {module}'
                    self.assertFalse(is_forbidden, text)
