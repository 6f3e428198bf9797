"""Rows of the table service that record which hosts hold permits.

There is one row per service.
"""

import dataclasses
import math

from chicorybridge.common.identities import (
    HostId,
    Incarnation,
    ServiceId,
    Version,
)
from chicorybridge.configuration.declarations import Declaration
from chicorybridge.storage.stores import Condition, Row, RowKey, Transact, Write

TABLE = 'permits'
# Allowance for rounding errors in a floor times a number of slots.
TOLERANCE = 1e-9


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ledger:
    """Row of one service: the slots that each holder has permits for.

    A holder is an incarnation of a host, see `holder_of`. `version` is the
    newest configuration version under which the row was written; a host
    with an older one does not write.
    """

    service_id: ServiceId
    row_version: int
    version: Version
    shares_by_holder: dict[str, int]

    @property
    def hosts(self) -> tuple[HostId, ...]:
        """Return the hosts that hold a share."""
        return tuple(
            HostId(holder.split('#')[0]) for holder in self.shares_by_holder
        )

    def transaction_for(
        self,
        *,
        holder: str,
        slots: int,
        reclaimed: frozenset[str],
        version: Version,
    ) -> Transact:
        """Return the transaction that records `slots` and drops `reclaimed`."""
        shares = self.shares_without(holder=holder, reclaimed=reclaimed)
        if slots:
            shares[holder] = slots
        row_key = row_key_of(self.service_id)
        return Transact(
            conditions=(Condition(row_key=row_key, version=self.row_version),),
            writes=(
                Write(
                    row_key=row_key, body={'version': version, 'held': shares}
                ),
            ),
        )

    def shares_without(
        self, *, holder: str, reclaimed: frozenset[str]
    ) -> dict[str, int]:
        """Return the shares of other incarnations, without `reclaimed`."""
        incarnation = incarnation_of(holder)
        return {
            other: slots
            for other, slots in self.shares_by_holder.items()
            if incarnation_of(other) != incarnation and other not in reclaimed
        }


def ledger_of(service_id: ServiceId, row: Row) -> Ledger:
    """Return the ledger in a row; it is empty if the row is missing."""
    return Ledger(
        service_id=service_id,
        row_version=row.version,
        version=Version(row.body.get('version', 0)),
        shares_by_holder=row.body.get('held', {}),
    )


def row_key_of(service_id: ServiceId) -> RowKey:
    """Return the key of the ledger of a service."""
    return RowKey(table=TABLE, key=service_id)


def holder_of(host_id: HostId, incarnation: Incarnation, epoch: int) -> str:
    """Return the name of a holder in the ledger.

    A process that dropped its permits continues with the next `epoch`, so
    that its old share can be distinguished from a new one.
    """
    return f'{host_id}#{epoch}#{incarnation}'


def incarnation_of(holder: str) -> Incarnation:
    """Return the incarnation in the name of a holder."""
    return Incarnation(int(holder.rpartition('#')[2]))


def budgets_of(declaration: Declaration) -> dict[ServiceId, int]:
    """Return the slots above the floor of each service."""
    budgets = {}
    for service_id, service in declaration.services_by_id.items():
        slots = declaration.slots_of(service_id)
        budgets[service_id] = slots - math.ceil(
            service.floor * slots - TOLERANCE
        )
    return budgets
