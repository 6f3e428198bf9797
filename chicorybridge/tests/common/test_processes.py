"""How processes end."""

import subprocess
import sys

PROGRAM = """
import atexit, sys
from chicorybridge.common.processes import end_process
atexit.register(print, 'torn down')
sys.stdout.write('all said')
end_process(3)
"""


def test_stopped_process_ends_without_the_teardown_of_the_interpreter():
    ended = subprocess.run(
        [sys.executable, '-c', PROGRAM], capture_output=True, check=False
    )
    assert (ended.returncode, ended.stdout) == (3, b'all said')
