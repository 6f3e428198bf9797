"""Exit of a process."""

import subprocess
import sys

PROGRAM = """
import atexit, sys
from chicorybridge.common.processes import end_process
atexit.register(print, 'exit handler ran')
sys.stdout.write('last output')
end_process(3)
"""


def test_process_exits_without_the_teardown_of_the_interpreter():
    completed = subprocess.run(
        [sys.executable, '-c', PROGRAM], capture_output=True, check=False
    )
    assert (completed.returncode, completed.stdout) == (3, b'last output')
