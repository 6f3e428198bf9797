"""Host programs that run as separate processes and receive signals."""

import os
import pathlib
import signal
import subprocess
import sys

import chicorybridge
from chicorybridge.hosts.__main__ import SETTINGS_VARIABLE

SETTINGS_TEMPLATE = """
[host]
host = edge-{number}
ip = {ip}
zone = groningen
region = noord
front = {ip}:8144
readiness = {ip}:8140
directory = {ip}:8143
metrics = {ip}:9464
fleet_ports = 7660,7675
seeds = {seeds}
store = {store}
{memory_line}
[zones]
groningen = noord

[bounds]
grace_s = {grace_s}
ttl_s = 2
config_apply_s = 2
drain_s = 2
retry_ratio = 0.2
retry_window_s = 10
retry_slack = {retry_slack}
"""
DEFAULT_RETRY_SLACK = 62
# The part that is cut off holds required settings.
TRUNCATED_SHARE = 0.7


class HostProgram:
    """A running process of the host program."""

    def __init__(
        self,
        *,
        number: int,
        ips: list[str],
        store: str,
        grace_s: float,
        folder: pathlib.Path,
        memory_mb: float = 0,
    ) -> None:
        """Start host `number` of those at `ips`.

        `store` is the address of the store. The settings file and the log of
        the process are in `folder`. The memory of the machine is not set if
        `memory_mb` is 0.
        """
        ip = ips[number]
        self.front_address = f'{ip}:8144'
        self.readiness_address = f'{ip}:8140'
        self.log_path = folder / f'host-{number}.log'
        self._settings_path = folder / f'host-{number}.ini'
        self._settings_template = SETTINGS_TEMPLATE.replace(
            '{retry_slack}', '{{}}'
        ).format(
            number=number,
            ip=ip,
            seeds=','.join(f'{seed}:8146' for seed in ips),
            store=store,
            grace_s=grace_s,
            memory_line=_memory_line(memory_mb),
        )
        self.write_settings(DEFAULT_RETRY_SLACK)
        self._process = self._start()

    @property
    def process_id(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def exit_status(self) -> int | None:
        """Return the exit status, `None` while the process runs."""
        return self._process.poll()

    def write_settings(self, retry_slack: float) -> None:
        """Replace the settings file atomically."""
        new_path = self._settings_path.with_suffix('.new')
        new_path.write_text(self._settings_template.format(retry_slack))
        new_path.replace(self._settings_path)

    def truncate_settings(self) -> None:
        """Leave an incomplete settings file, as during a slow write."""
        text = self._settings_template.format(DEFAULT_RETRY_SLACK)
        self._settings_path.write_text(text[: int(len(text) * TRUNCATED_SHARE)])

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        self._process.send_signal(number)

    def close(self) -> None:
        """Kill the process if it still runs."""
        self._process.kill()
        self._process.wait()

    def _start(self) -> subprocess.Popen:
        root = pathlib.Path(chicorybridge.__file__).parents[1]
        with self.log_path.open('wb') as log:
            return subprocess.Popen(
                [sys.executable, '-m', 'chicorybridge.hosts'],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    SETTINGS_VARIABLE: str(self._settings_path),
                    'PYTHONPATH': str(root),
                },
            )


def _memory_line(memory_mb: float) -> str:
    """Return the setting, nothing if it is not known."""
    return f'memory_mb = {memory_mb}\n' if memory_mb else ''
