"""Move parts and tokens of a contract between share holders.

Each contract is divided into PARTS_PER_CONTRACT equal parts. A share is the
number of parts that one holder, an instance under one lease, has of a
contract; it limits how many tokens the holder may keep and how fast they
refill. It is unrelated to the share of a pool's slots in slot_shares.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from jackdawfield.decisions.buckets import Bucket
from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.buckets import DemandMeter
from jackdawfield.decisions.buckets import PARTS_PER_CONTRACT
from jackdawfield.decisions.ledger import Ledger
from jackdawfield.messages.rates import Ask
from jackdawfield.messages.rates import Grant
from jackdawfield.messages.rates import GrantReceived
from jackdawfield.messages.rates import HolderId
from jackdawfield.model import OrganisationId

# A share of a contract with at most this burst moves as a whole when asked.
UNDIVIDED_BURST_TOKENS = 8


class ShareState(Enum):
    """Lists the states of a share at its holder.

    A share is JOINING until a stored ledger lists its holder, and CLOSED from
    its report in a settlement until the next epoch.
    """

    JOINING = 'joining'
    OPEN = 'open'
    CLOSED = 'closed'


@dataclass(slots=True)
class Peer:
    """Holds what a peer last reported; `parts` is None while unknown."""

    parts: int | None = None
    tokens_left: float = 0.0
    spare_per_s: float = 0.0
    skip_until_s: float = 0.0
    is_unresponsive: bool = False


class Share:
    """Holds one organisation's share and its transfers in one epoch.

    A giver removes parts from its own share before it sends the grant, and
    a receiver applies each grant of a giver once, in increasing sequence. A
    message that is lost, late or repeated can therefore only lose parts,
    which the next epoch of the ledger assigns again.
    """

    __slots__ = (
        '_ask_sequence_by_peer',
        '_grant_sequence_by_peer',
        '_sequence',
        'bucket',
        'demand',
        'epoch',
        'holder_id',
        'organisation_id',
        'peers_by_id',
        'state',
    )

    def __init__(
        self,
        organisation_id: OrganisationId,
        holder_id: HolderId,
        contract: Contract,
        now_s: float,
    ) -> None:
        self.organisation_id = organisation_id
        self.holder_id = holder_id
        self.state = ShareState.JOINING
        self.epoch = 0
        self.bucket = Bucket(contract, 0, 0.0, now_s)
        self.demand = DemandMeter(now_s)
        self.peers_by_id: dict[HolderId, Peer] = {}
        self._sequence = 0
        self._ask_sequence_by_peer: dict[HolderId, int] = {}
        self._grant_sequence_by_peer: dict[HolderId, int] = {}

    def open_epoch(self, ledger: Ledger, now_s: float) -> None:
        """Set the parts to those that a newer epoch lists for this holder."""
        self.bucket.refill(now_s)
        parts = ledger.parts_by_holder.get(self.holder_id, 0)
        self.bucket.add(parts - self.bucket.parts, 0.0, now_s)
        if self._is_first_holder(ledger):
            self.bucket.tokens = self.bucket.capacity
        self.epoch = ledger.epoch
        self.state = ShareState.OPEN
        self._ask_sequence_by_peer.clear()
        self._grant_sequence_by_peer.clear()
        self.update_peers(ledger.parts_by_holder)

    def _is_first_holder(self, ledger: Ledger) -> bool:
        if self.state is not ShareState.JOINING or ledger.epoch != 1:
            return False
        return ledger.parts_by_holder.get(self.holder_id) == PARTS_PER_CONTRACT

    def update_peers(self, holder_ids: Iterable[HolderId]) -> None:
        """Set the peers to the listed holders and keep their reports."""
        listed = set(holder_ids) - {self.holder_id}
        self.peers_by_id = {
            peer_id: self.peers_by_id.get(peer_id, Peer())
            for peer_id in sorted(listed)
        }

    def close(self) -> int:
        """Stop transfers until the next epoch and return the parts held."""
        self.state = ShareState.CLOSED
        return self.bucket.parts

    def likely_givers(self, now_s: float) -> list[HolderId]:
        """Return the peers that may hold parts and are not skipped."""
        return [
            peer_id
            for peer_id, peer in self.peers_by_id.items()
            if peer.skip_until_s <= now_s and peer.parts != 0
        ]

    def unlikely_givers(self, now_s: float) -> list[HolderId]:
        """Return the peers last reported without parts and not skipped."""
        return [
            peer_id
            for peer_id, peer in self.peers_by_id.items()
            if peer.skip_until_s <= now_s and peer.parts == 0
        ]

    def create_asks(
        self, peer_ids: Iterable[HolderId], tokens: float, now_s: float
    ) -> tuple[Ask, ...]:
        """Return an ask to each peer, none unless the share is open."""
        if self.state is not ShareState.OPEN:
            return ()
        self._sequence += 1
        return tuple(
            Ask(
                self.organisation_id,
                self.epoch,
                self.holder_id,
                peer_id,
                self._sequence,
                tokens,
                self.demand.arrivals_per_s(now_s),
                self.bucket.parts,
            )
            for peer_id in peer_ids
        )

    def answer_ask(self, ask: Ask, now_s: float) -> Grant | None:
        """Return the grant for an ask, None if outdated or misaddressed."""
        if ask.epoch != self.epoch or ask.giver != self.holder_id:
            return None
        if ask.sequence <= self._ask_sequence_by_peer.get(ask.asker, 0):
            return None
        self._ask_sequence_by_peer[ask.asker] = ask.sequence
        peer = self.peers_by_id.setdefault(ask.asker, Peer())
        self.bucket.refill(now_s)
        if self.state is not ShareState.OPEN:
            return self._grant(ask.asker, ask.sequence, 0, 0.0, now_s)
        parts, tokens = self._compute_portion(ask, now_s)
        peer.parts = ask.parts + parts
        return self._grant(ask.asker, ask.sequence, parts, tokens, now_s)

    def _compute_portion(self, ask: Ask, now_s: float) -> tuple[int, float]:
        """Return the parts and tokens to grant, in proportion to demand."""
        bucket = self.bucket
        demand_per_s = self.demand.arrivals_per_s(now_s)
        total_per_s = demand_per_s + ask.demand_per_s
        fraction = ask.demand_per_s / total_per_s if total_per_s > 0 else 0.0
        if bucket.contract.burst <= UNDIVIDED_BURST_TOKENS:
            fraction = 1.0
        tokens = max(ask.tokens, fraction * bucket.tokens)
        tokens = max(0.0, min(bucket.tokens, tokens))
        balancing_parts = (
            int(fraction * (bucket.parts + ask.parts)) - ask.parts
        )
        parts = max(balancing_parts, bucket.parts_for(tokens), 0)
        return min(bucket.parts, parts), tokens

    def hand_over(self, receiver: HolderId, now_s: float) -> Grant | None:
        """Return a grant of the whole share, None if empty or not open."""
        if self.state is not ShareState.OPEN or not self.bucket.parts:
            return None
        self.bucket.refill(now_s)
        bucket = self.bucket
        return self._grant(receiver, 0, bucket.parts, bucket.tokens, now_s)

    def _grant(
        self,
        receiver: HolderId,
        ask_sequence: int,
        parts: int,
        tokens: float,
        now_s: float,
    ) -> Grant:
        self._deduct(parts, tokens, now_s)
        self._sequence += 1
        return Grant(
            self.organisation_id,
            self.epoch,
            self.holder_id,
            receiver,
            self._sequence,
            ask_sequence,
            parts,
            tokens,
            self.bucket.parts,
            self.bucket.tokens,
            max(
                0.0, self.bucket.rate_per_s - self.demand.arrivals_per_s(now_s)
            ),
        )

    def _deduct(self, parts: int, tokens: float, now_s: float) -> None:
        self.bucket.remove(parts, tokens, now_s)

    def accept_grant(self, grant: Grant, now_s: float) -> bool:
        """Add a grant of this epoch once and return whether it was added."""
        if grant.epoch != self.epoch or grant.receiver != self.holder_id:
            return False
        if self.state is not ShareState.OPEN or not self._is_new(grant):
            return False
        self._grant_sequence_by_peer[grant.giver] = grant.sequence
        peer = self.peers_by_id.setdefault(grant.giver, Peer())
        peer.parts = grant.parts_left
        peer.tokens_left = grant.tokens_left
        peer.spare_per_s = grant.spare_per_s
        peer.is_unresponsive = False
        self.bucket.add(grant.parts, grant.tokens, now_s)
        return True

    def _is_new(self, grant: Grant) -> bool:
        return grant.sequence > self._grant_sequence_by_peer.get(
            grant.giver, 0
        )

    def confirm(self, grant: Grant) -> GrantReceived:
        """Return the confirmation of a handover, a grant without an ask."""
        return GrantReceived(
            grant.organisation_id,
            grant.epoch,
            grant.giver,
            grant.receiver,
            grant.sequence,
        )

    def mark_unresponsive(
        self, peer_id: HolderId, skip_until_s: float
    ) -> None:
        """Skip a peer that did not answer, as its grant may be lost."""
        peer = self.peers_by_id.get(peer_id)
        if peer is None:
            return
        peer.parts = None
        peer.tokens_left = 0.0
        peer.spare_per_s = 0.0
        peer.skip_until_s = skip_until_s
        peer.is_unresponsive = True
