"""Play seeds again and tell what broke."""

import argparse
import pathlib
import sys
import tempfile

from chicorybridge.tests.stops.runs import run_seed


def main() -> int:
    """Run the seeds and return 1 if any broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--folder', help='where settings and logs stay')
    options = parser.parse_args()
    broken = 0
    for seed in options.seeds:
        folder = pathlib.Path(options.folder or tempfile.mkdtemp()) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        report = run_seed(seed, folder)
        (folder / 'report.txt').write_text(f'{report}\n')
        sys.stdout.write(f'{report}\n')
        sys.stdout.flush()
        broken += bool(report.breaches)
    return int(bool(broken))


if __name__ == '__main__':
    sys.exit(main())
