"""Which subpackages may import which."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
ROOT = 'chicorybridge'

# What nobody below may import, by subpackage.
FORBIDDEN_BY_PACKAGE = (
    ('common', {'http', 'routing', 'fleet', 'hosts', 'platform', 'control'}),
    ('http', {'routing', 'hosts', 'platform', 'control', 'standins'}),
    ('routing', {'hosts', 'platform', 'control', 'operators', 'standins'}),
    ('detection', {'hosts', 'platform', 'http', 'operators', 'standins'}),
    ('claims', {'hosts', 'platform', 'operators', 'standins'}),
    ('configuration', {'hosts', 'platform', 'operators', 'standins'}),
    ('fleet', {'hosts', 'platform', 'operators', 'standins'}),
    ('platform', {'hosts', 'control', 'operators', 'standins', 'routing'}),
    ('hosts', {'control', 'operators', 'standins', 'detection', 'claims'}),
    ('entry', {'hosts', 'platform', 'operators', 'standins'}),
)
LARGEST_FOLDER = 25


def _imported(path: pathlib.Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[0] == ROOT and len(parts) > 1:
                found.add(parts[1])
    return found


@pytest.mark.parametrize(('name', 'forbidden'), FORBIDDEN_BY_PACKAGE)
def test_package_imports_nothing_above_it(name, forbidden):
    wrong = {
        path.name: _imported(path) & forbidden
        for path in (PACKAGE / name).glob('*.py')
        if _imported(path) & forbidden
    }
    assert not wrong


def test_no_folder_is_too_large_to_find_ones_way_in():
    sizes = {
        folder.name: len(list(folder.glob('*.py')))
        for folder in PACKAGE.rglob('*')
        if folder.is_dir()
    }
    assert max(sizes.values()) <= LARGEST_FOLDER, sizes
