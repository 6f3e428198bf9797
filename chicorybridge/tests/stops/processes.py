"""Host programs as processes of their own, and the signals they get."""

import os
import pathlib
import signal
import subprocess
import sys

import chicorybridge
from chicorybridge.hosts.__main__ import SETTINGS_VARIABLE

SETTINGS = """
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
RETRY_SLACK = 62
# An end of the file that is cut leaves out what is required.
TORN_SHARE = 0.7


class HostProgram:
    """A process of the host program."""

    def __init__(
        self,
        *,
        number: int,
        ips: list[str],
        store: str,
        grace_s: float,
        folder: pathlib.Path,
    ) -> None:
        """Keep settings and log of the program in `folder`."""
        ip_number = ips[number]
        self.front = f'{ip_number}:8144'
        self.readiness = f'{ip_number}:8140'
        self.log_path = folder / f'host-{number}.log'
        self._settings_path = folder / f'host-{number}.ini'
        self._text = SETTINGS.replace('{retry_slack}', '{{}}').format(
            number=number,
            ip=ip_number,
            seeds=','.join(f'{seed}:8146' for seed in ips),
            store=store,
            grace_s=grace_s,
        )
        self.rewrite(RETRY_SLACK)
        self._process = self._start()

    @property
    def status(self) -> int | None:
        """Return the exit status, `None` while it runs."""
        return self._process.poll()

    def rewrite(self, retry_slack: float) -> None:
        """Change the settings file in one step."""
        fresh = self._settings_path.with_suffix('.new')
        fresh.write_text(self._text.format(retry_slack))
        fresh.replace(self._settings_path)

    def tear(self) -> None:
        """Leave the settings file half written."""
        text = self._text.format(RETRY_SLACK)
        self._settings_path.write_text(text[: int(len(text) * TORN_SHARE)])

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        self._process.send_signal(number)

    def close(self) -> None:
        """End the process if it still runs."""
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
