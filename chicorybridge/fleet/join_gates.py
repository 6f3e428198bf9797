"""When a host may take work after it started or was cut off."""

from chicorybridge import settings
from chicorybridge.common.clocks import Millis
from chicorybridge.common.identities import Version
from chicorybridge.common.systems import Effects
from chicorybridge.configuration.confirmations import Confirmations
from chicorybridge.configuration.version_states import VersionState
from chicorybridge.fleet.links import NEVER
from chicorybridge.fleet.members import Members


class JoinGate:
    """Keep a host out of service until its configuration is the newest.

    The host waits for `JOIN_DELAY_MS`, in which all peers discover it, so that
    no version is accepted without its confirmation from then on. After
    that either the head version in the platform's store or the reports of
    several hosts must show no newer version.
    """

    def __init__(
        self,
        *,
        members: Members,
        version_state: VersionState,
        confirmations: Confirmations,
    ) -> None:
        """Start with a host that has not joined."""
        self.joined = False
        self._members = members
        self._version_state = version_state
        self._confirmations = confirmations
        self._waiting_since: Millis | None = None
        self._request_due: Millis = NEVER

    def tick(self, *, now: Millis) -> Effects:
        """Restart the wait when cut off; request reports until joined."""
        if (
            self._members.peers.is_lease_expired(now)
            or self._waiting_since is None
        ):
            self.joined = False
            self._waiting_since = now
        if not self.joined and self._reports_suffice():
            self.joined = True
        self._members.ready = self.joined
        if self.joined or now < max(self._request_due, self._wait_ends_at):
            return ()
        if not self._version_state.confirmed:
            return ()
        self._request_due = Millis(now + settings.REPORT_INTERVAL_MS)
        peers = {link.host_id for link in self._members.peers.monitored_links}
        return self._confirmations.request_reports(
            peers, self._version_state.version, now=now
        )

    def record_head(self, version: Version, *, requested_at: Millis) -> None:
        """Record the head version of the store, requested at `requested_at`."""
        if not version or version > self._version_state.confirmed:
            return
        peers = self._members.peers
        peers.store_read_at = max(peers.store_read_at, requested_at)
        if (
            self._waiting_since is not None
            and requested_at >= self._wait_ends_at
        ):
            self.joined = True

    @property
    def _wait_ends_at(self) -> float:
        if self._waiting_since is None:
            return float('inf')
        return self._waiting_since + settings.JOIN_DELAY_MS

    def _reports_suffice(self) -> bool:
        if not self._version_state.confirmed:
            return False
        representative_ids = {
            link.host_id for link in self._members.peers.representative_links
        }
        fresh = [
            report
            for report in self._confirmations.reports_by_host.values()
            if report.requested_at >= self._wait_ends_at
            and report.host_id in representative_ids
            and report.version
        ]
        if any(
            report.version > self._version_state.confirmed for report in fresh
        ):
            return False
        # If this host and the reporters are at least half of the fleet, the
        # rest cannot have excused all of them. Otherwise only reports of
        # hosts that take work count.
        if 2 * (len(fresh) + 1) > len(representative_ids):
            return len(fresh) >= settings.MIN_JOIN_REPORTS
        taking = sum(report.taking for report in fresh)
        return taking >= settings.MIN_JOIN_REPORTS
