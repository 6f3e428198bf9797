"""Import rules between subpackages, and sizes of folders."""

import ast
import pathlib

import pytest

PACKAGE = pathlib.Path(__file__).parents[2]
ROOT = 'chicorybridge'

# Subpackages that a subpackage must not import, as they are above it.
FORBIDDEN_BY_PACKAGE = (
    ('common', {'http', 'routing', 'fleet', 'hosts', 'platform', 'control'}),
    ('http', {'routing', 'hosts', 'platform', 'control', 'standins'}),
    ('routing', {'hosts', 'platform', 'control', 'operators', 'standins'}),
    ('admission', {'hosts', 'platform', 'fleet', 'http', 'operators'}),
    ('detection', {'hosts', 'platform', 'http', 'operators', 'standins'}),
    ('claims', {'hosts', 'platform', 'operators', 'standins'}),
    ('configuration', {'hosts', 'platform', 'operators', 'standins'}),
    ('fleet', {'hosts', 'platform', 'operators', 'standins'}),
    ('platform', {'hosts', 'control', 'operators', 'standins', 'routing'}),
    ('hosts', {'control', 'operators', 'standins', 'detection', 'claims'}),
    ('entry', {'hosts', 'platform', 'operators', 'standins'}),
)
MAX_MODULES_PER_FOLDER = 25


def _imported_packages(path: pathlib.Path) -> set[str]:
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split('.')
            if parts[0] == ROOT and len(parts) > 1:
                imported.add(parts[1])
    return imported


@pytest.mark.parametrize(('name', 'forbidden'), FORBIDDEN_BY_PACKAGE)
def test_package_does_not_import_packages_above_it(name, forbidden):
    violations = {
        path.name: _imported_packages(path) & forbidden
        for path in (PACKAGE / name).glob('*.py')
        if _imported_packages(path) & forbidden
    }
    assert not violations


def test_no_folder_has_too_many_modules():
    sizes = {
        folder.name: len(list(folder.glob('*.py')))
        for folder in PACKAGE.rglob('*')
        if folder.is_dir()
    }
    assert max(sizes.values()) <= MAX_MODULES_PER_FOLDER, sizes
