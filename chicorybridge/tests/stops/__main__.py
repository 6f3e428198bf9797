"""Repeat the runs of seeds and report violated promises."""

import argparse
import pathlib
import sys
import tempfile

from chicorybridge.tests.stops.runs import run_seed


def main() -> int:
    """Run the seeds and return 1 if any run violated a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('seeds', type=int, nargs='+')
    parser.add_argument('--folder', help='folder that keeps settings and logs')
    options = parser.parse_args()
    failed = 0
    for seed in options.seeds:
        folder = pathlib.Path(options.folder or tempfile.mkdtemp()) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        report = run_seed(seed, folder)
        (folder / 'report.txt').write_text(f'{report}\n')
        sys.stdout.write(f'{report}\n')
        sys.stdout.flush()
        failed += bool(report.breaches)
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
