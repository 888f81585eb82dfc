"""Define the ledger, the table row that lists the holders of a contract.

An epoch is a version of the ledger's parts. Between two epochs the holders
transfer parts among themselves without a write to the ledger. The ledger of
a program's token budget is another one, in gateway.ledger.
"""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec
from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.buckets import PARTS_PER_CONTRACT
from jackdawfield.decisions.table import Condition
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.messages.rates import HolderId
from jackdawfield.model import OrganisationId


class LedgerError(Exception):
    """Reports a ledger row that cannot be decoded or must not be written."""


@dataclass(frozen=True, slots=True)
class Ledger:
    """Lists every holder of an epoch with its parts at the epoch's start."""

    epoch: int
    parts_by_holder: Mapping[HolderId, int]


def ledger_key(organisation_id: OrganisationId) -> str:
    """Return the key of an organisation's ledger row."""
    return f'rates/{organisation_id}'


def decode_ledger(row: Row) -> Result[Ledger | None, LedgerError]:
    """Return the ledger in a row, None for an absent row."""
    if row.revision == 0:
        return Ok(None)
    try:
        ledger = msgspec.json.decode(row.value, type=Ledger)
    except msgspec.MsgspecError as error:
        return Err(LedgerError(f'{row.key}: {error}'))
    if sum(ledger.parts_by_holder.values()) > PARTS_PER_CONTRACT:
        return Err(
            LedgerError(f'{row.key}: sum of parts exceeds the contract')
        )
    return Ok(ledger)


def add_holder(ledger: Ledger | None, holder_id: HolderId) -> Ledger:
    """Return the ledger with a further holder; the first gets all parts."""
    if ledger is None:
        return Ledger(1, {holder_id: PARTS_PER_CONTRACT})
    listed = {**ledger.parts_by_holder}
    listed.setdefault(holder_id, 0)
    return Ledger(ledger.epoch, listed)


def next_epoch(
    ledger: Ledger,
    kept_by_holder: Mapping[HolderId, int],
    expired_ids: Collection[HolderId],
    settler: HolderId,
) -> Result[Ledger, LedgerError]:
    """Return the next epoch: parts as reported, the rest to the settler."""
    missing = (
        set(ledger.parts_by_holder) - set(kept_by_holder) - set(expired_ids)
    )
    if missing:
        return Err(LedgerError(f'no report from {sorted(missing)}'))
    next_parts = {
        holder_id: parts
        for holder_id, parts in kept_by_holder.items()
        if holder_id in ledger.parts_by_holder and holder_id not in expired_ids
    }
    unassigned = PARTS_PER_CONTRACT - sum(next_parts.values())
    if unassigned < 0:
        return Err(LedgerError('sum of reported parts exceeds the contract'))
    next_parts[settler] = next_parts.get(settler, 0) + unassigned
    return Ok(Ledger(ledger.epoch + 1, next_parts))


def build_transaction(row: Row, ledger: Ledger) -> Transaction:
    """Return the compare-and-set transaction that replaces a row."""
    value = msgspec.json.encode(ledger)
    return Transaction(
        (Condition(row.key, row.revision),), (Put(row.key, value),)
    )
