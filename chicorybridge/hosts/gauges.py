"""Current values of the gauges of a host, for its metrics."""

from collections.abc import Mapping

from chicorybridge.common.clocks import Clock, Millis, as_seconds
from chicorybridge.fleet.channels import Channel
from chicorybridge.hosts.dispatchers import HostDispatcher
from chicorybridge.hosts.fleet_views import FleetView
from chicorybridge.hosts.store_readers import StoreReader
from chicorybridge.http.byte_budgets import ByteBudget
from chicorybridge.http.caller_connections import CallerConnections


class HostGauges:
    """Read the gauges from the components of a host."""

    def __init__(
        self,
        *,
        clock: Clock,
        fleet_view: FleetView,
        dispatcher: HostDispatcher,
        callers: CallerConnections,
        reader: StoreReader,
        channel: Channel,
        budget: ByteBudget,
    ) -> None:
        """Read the gauges from these components."""
        self._clock = clock
        self._fleet_view = fleet_view
        self._dispatcher = dispatcher
        self._callers = callers
        self._reader = reader
        self._channel = channel
        self._budget = budget

    def __call__(self) -> Mapping[str, float]:
        """Return the values by name; `docs/metrics.md` lists them."""
        age_ms = self._fleet_view.targets.schedule.age_ms(now=self._clock.now())
        return {
            'configuration_version': self._fleet_view.state.version,
            'store_age_seconds': as_seconds(age_ms),
            'leaving_learnt_age_seconds': as_seconds(
                Millis(self._fleet_view.targets.max_leaving_age_ms)
            ),
            'targets': len(self._fleet_view.directory.entries_by_id),
            'hosts_heard': len(self._fleet_view.host_table.profiles()),
            'requests_in_flight': len(self._dispatcher.calls_by_number),
            'requests_waiting': self._dispatcher.waiting_count,
            'callers_connected': len(self._callers),
            'requests_read_ahead': self._callers.ahead_count,
            'answer_bytes_held': sum(
                call.relay.held_bytes
                for call in self._dispatcher.calls_by_number.values()
                if call.relay is not None
            ),
            'held_bytes': self._budget.held_bytes,
            'held_bytes_limit': self._budget.size_bytes,
            'store_calls': self._reader.calls,
            'datagrams_unsent': self._channel.unsent,
            'datagrams_received': self._channel.received,
            'aggregator_changes': self._fleet_view.zone_sums.changes,
            **self._permit_gauges(),
        }

    def _permit_gauges(self) -> dict[str, float]:
        """Return the number of buckets and the counts of permits so far."""
        permits = self._dispatcher.permits
        granter = permits.granter
        gauges: dict[str, float] = {'permit_buckets': len(granter)}
        for source, count in permits.counts.items():
            gauges[f'permits_{source}'] = count
        for reply, number in granter.counts.items():
            gauges[f'permit_requests_{reply}'] = number
        return gauges
