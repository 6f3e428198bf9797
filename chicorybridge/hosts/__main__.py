"""The binary chicorybridge-host: the proxy process of a host."""

import logging
import os
import pathlib
import random
import sys

import curio

from chicorybridge import settings
from chicorybridge.common import sockets
from chicorybridge.common.binaries import ProcessCommand, run_application, serve
from chicorybridge.common.clocks import Clock, as_seconds
from chicorybridge.common.collectors import freeze_collector
from chicorybridge.common.errors import ChicorybridgeError
from chicorybridge.common.log_streams import BoundedHandler
from chicorybridge.common.processes import ReloadSignals, end_process
from chicorybridge.hosts.host_processes import HostProcess
from chicorybridge.hosts.settings_files import read_host_settings

logger = logging.getLogger(__name__)

# Environment variable with the path of the settings file, which the
# option --settings overrides.
SETTINGS_VARIABLE = 'CHICORYBRIDGE_BOOT'


class HostCommand(ProcessCommand):
    """Run the process of a host."""

    name = 'host'
    description = 'Accept requests of callers and forward them to targets'

    def set_up_logs(self) -> None:
        """Write events and messages as JSON lines on standard output."""
        self._logs = BoundedHandler(
            descriptor=sys.stdout.fileno(), clock=Clock()
        )
        logging.basicConfig(level=logging.INFO, handlers=[self._logs])
        # curio warns when a wait ends at the same moment as its timeout.
        logging.getLogger('curio.time').setLevel(logging.ERROR)

    def run_process(self, path: pathlib.Path) -> None:
        """Read the settings and run the host; raise errors with a code."""
        if not self.option('settings'):
            path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, ''))
        curio.run(_run, path, self._logs)


async def _run(path: pathlib.Path, logs: BoundedHandler) -> None:
    host_settings = read_host_settings(path)
    host = HostProcess(
        host_settings=host_settings,
        clock=Clock(),
        rng=random.Random(),
        logs=logs,
    )
    signals = ReloadSignals(reload=lambda: _reload(host, path))
    listener = sockets.listen(host_settings.front)
    freeze_collector()
    await curio.spawn(_reload_periodically, host, path, daemon=True)
    await serve(host, listener, signals)


async def _reload_periodically(host: HostProcess, path: pathlib.Path) -> None:
    """Reload the settings regularly, as a signal may not be sent."""
    while True:
        await curio.sleep(as_seconds(settings.SETTINGS_CHECK_INTERVAL_MS))
        _reload(host, path)


def _reload(host: HostProcess, path: pathlib.Path) -> None:
    try:
        host_settings = read_host_settings(path)
    except ChicorybridgeError as error:
        logger.warning(
            'settings file rejected, keeping the current settings: %s', error
        )
        return
    host.reload(host_settings)


def main() -> int:
    """Run the binary and return its exit status."""
    return run_application('chicorybridge-host', HostCommand())


if __name__ == '__main__':
    end_process(main())
