"""Read and write the ledger of one organisation for a share holder.

A holder joins by adding itself to the ledger, the first one with all parts,
each later one with none.
"""

from jackdawfield.decisions import ledger as ledger_rows
from jackdawfield.decisions.ledger import Ledger
from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import parse_incarnation_prefix
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import ReadLedger
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rate_events import WriteLedger
from jackdawfield.decisions.shares import Share
from jackdawfield.decisions.shares import ShareState
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.messages.rates import CloseShare
from jackdawfield.messages.rates import EpochOpened
from jackdawfield.messages.rates import HolderId
from jackdawfield.messages.rates import ShareClosed


class LedgerManager:
    """Reads and writes the ledger row of a share's organisation.

    A settlement replaces one epoch by the next, which assigns the parts of
    expired holders and of lost grants again. The holder that runs it, the
    settler, first requests every live holder to stop its transfers and to
    report its parts. Only after all reports does it write the next epoch,
    in which no holder has less than it reported and the settler gets the
    unassigned parts. A holder that reads the new epoch late therefore never
    exceeds its parts in that epoch.

    `is_settling` is set while this holder is the settler; `settle_at_s` is
    the time from which it becomes the settler, None if none is scheduled.
    `expired_incarnation_prefixes` is the set of the ShareHolder, which adds
    the prefixes of incarnations whose lease has expired for good.
    """

    __slots__ = (
        '_closed_at_s',
        '_has_pending_io',
        '_last_attempt_at_s',
        '_ledger',
        '_pending_ledger',
        '_reported_parts_by_holder',
        '_row',
        '_settings',
        'expired_incarnation_prefixes',
        'is_settling',
        'settle_at_s',
        'share',
    )

    def __init__(
        self,
        share: Share,
        settings: RateSettings,
        expired_incarnation_prefixes: set[str],
    ) -> None:
        self.share = share
        self.expired_incarnation_prefixes = expired_incarnation_prefixes
        self.is_settling = False
        self.settle_at_s: float | None = None
        self._settings = settings
        self._has_pending_io = False
        self._last_attempt_at_s = 0.0
        self._closed_at_s = 0.0
        self._reported_parts_by_holder: dict[HolderId, int] = {}
        self._row: Row | None = None
        self._ledger: Ledger | None = None
        self._pending_ledger: Ledger | None = None

    def read_ledger(self, now_s: float) -> tuple[Action, ...]:
        """Read the row unless a read or write is pending."""
        if self._has_pending_io:
            return ()
        self._has_pending_io = True
        self._last_attempt_at_s = now_s
        return (ReadLedger(self.share.organisation_id),)

    def schedule(self, now_s: float) -> None:
        """Schedule a settlement, later for each peer with a higher score.

        The delays keep holders from settling at the same time: the next one
        in order starts only if those before it have written no epoch by then.
        """
        if self.settle_at_s is not None or self.is_settling:
            return
        share = self.share
        own_score = rendezvous_score(share.organisation_id, share.holder_id)
        rank = sum(
            rendezvous_score(share.organisation_id, peer_id) > own_score
            for peer_id in share.peers_by_id
        )
        self.settle_at_s = now_s + (1 + 4 * rank) * (
            self._settings.settle_delay_s
        )

    def on_time_passed(self, now_s: float) -> tuple[Action, ...]:
        """Start, retry or take over a settlement, or retry to join.

        A holder whose share stays closed for three retries takes the
        settlement over, since its settler may have failed.
        """
        retry_at_s = self._last_attempt_at_s + self._settings.settle_retry_s
        if self._has_pending_io or now_s < retry_at_s:
            return self._start_if_due(now_s)
        if self.share.state is ShareState.JOINING or self.is_settling:
            return self.read_ledger(now_s)
        if self.share.state is not ShareState.CLOSED:
            return self._start_if_due(now_s)
        if now_s - self._closed_at_s > 3 * self._settings.settle_retry_s:
            self.is_settling = True
        return self.read_ledger(now_s)

    def _start_if_due(self, now_s: float) -> tuple[Action, ...]:
        if self.settle_at_s is None or now_s < self.settle_at_s:
            return ()
        if self._has_pending_io or self.share.state is ShareState.JOINING:
            return ()
        self.settle_at_s = None
        self.is_settling = True
        return self.read_ledger(now_s)

    def on_read(self, row: Row | None, now_s: float) -> tuple[Action, ...]:
        """Apply a ledger as read, or join it; continue a settlement."""
        self._has_pending_io = False
        if row is None:
            return ()
        decoded = ledger_rows.decode_ledger(row)
        if decoded.is_err():
            return ()
        self._row = row
        self._ledger = decoded.unwrap()
        if self._is_unlisted():
            joined = ledger_rows.add_holder(self._ledger, self.share.holder_id)
            return self._write_ledger(joined, now_s)
        assert self._ledger is not None
        self._apply_ledger(self._ledger, now_s)
        return self._advance_settlement(now_s) if self.is_settling else ()

    def _is_unlisted(self) -> bool:
        if self._ledger is None:
            return True
        return self.share.holder_id not in self._ledger.parts_by_holder

    def _apply_ledger(self, ledger: Ledger, now_s: float) -> None:
        if ledger.epoch > self.share.epoch:
            self.share.open_epoch(ledger, now_s)
            self._reported_parts_by_holder.clear()
            self.is_settling = False
            self.settle_at_s = None
        self.share.update_peers(ledger.parts_by_holder)
        self._drop_expired_and_schedule(now_s)

    def _drop_expired_and_schedule(self, now_s: float) -> bool:
        """Drop expired peers and schedule a settlement; return if any were."""
        share = self.share
        live = [p for p in share.peers_by_id if not self._is_expired(p)]
        if len(live) == len(share.peers_by_id):
            return False
        share.update_peers(live)
        self.schedule(now_s)
        return True

    def _is_expired(self, holder_id: HolderId) -> bool:
        if holder_id == self.share.holder_id:
            return False
        prefix = parse_incarnation_prefix(holder_id)
        # An earlier holder id of this incarnation, whose lease has expired.
        if prefix == parse_incarnation_prefix(self.share.holder_id):
            return True
        return prefix in self.expired_incarnation_prefixes

    def _unreported_peers(self) -> list[HolderId]:
        return [
            peer_id
            for peer_id in self.share.peers_by_id
            if peer_id not in self._reported_parts_by_holder
        ]

    def _advance_settlement(self, now_s: float) -> tuple[Action, ...]:
        """Request the missing reports, or write the next epoch without any.

        While unresponsive peers are missing, only they are asked; the others
        go on until every unresponsive peer has reported or expired.
        """
        unreported = self._unreported_peers()
        if not unreported:
            return self._write_next_epoch(now_s)
        peers = self.share.peers_by_id
        unresponsive = [p for p in unreported if peers[p].is_unresponsive]
        return tuple(
            Send(
                peer_id,
                CloseShare(
                    self.share.organisation_id,
                    self.share.epoch,
                    self.share.holder_id,
                    peer_id,
                ),
            )
            for peer_id in unresponsive or unreported
        )

    def on_close_request(
        self, message: CloseShare, now_s: float
    ) -> tuple[Action, ...]:
        """Close the share and report its parts; first read a newer epoch."""
        share = self.share
        if message.epoch < share.epoch:
            return ()
        if message.epoch > share.epoch or self._is_joining():
            return self.read_ledger(now_s)
        if share.state is ShareState.OPEN:
            self._closed_at_s = now_s
        return (
            Send(
                message.settler,
                ShareClosed(
                    message.organisation_id,
                    message.epoch,
                    message.settler,
                    message.holder,
                    share.close(),
                ),
            ),
        )

    def _is_joining(self) -> bool:
        return self.share.state is ShareState.JOINING

    def on_share_closed(
        self, message: ShareClosed, now_s: float
    ) -> tuple[Action, ...]:
        """Record reported parts; write the next epoch once none is missing."""
        if not self.is_settling or message.epoch != self.share.epoch:
            return ()
        self._reported_parts_by_holder[message.holder] = message.parts
        peer = self.share.peers_by_id.get(message.holder)
        if peer is None:
            return ()
        was_unresponsive = peer.is_unresponsive
        peer.is_unresponsive = False
        if not self._unreported_peers():
            return self._write_next_epoch(now_s)
        return self._advance_settlement(now_s) if was_unresponsive else ()

    def on_expired(self, now_s: float) -> tuple[Action, ...]:
        """Drop expired peers; continue a running settlement without them."""
        if not self._drop_expired_and_schedule(now_s) or not self.is_settling:
            return ()
        return self.read_ledger(now_s)

    def _write_next_epoch(self, now_s: float) -> tuple[Action, ...]:
        if self._has_pending_io or self._ledger is None:
            return ()
        if self.share.state is ShareState.OPEN:
            self._closed_at_s = now_s
        reported_parts = {
            **self._reported_parts_by_holder,
            self.share.holder_id: self.share.close(),
        }
        expired_ids = {
            holder_id
            for holder_id in self._ledger.parts_by_holder
            if self._is_expired(holder_id)
        }
        next_ledger = ledger_rows.next_epoch(
            self._ledger, reported_parts, expired_ids, self.share.holder_id
        )
        if next_ledger.is_err():
            self._last_attempt_at_s = now_s
            return ()
        return self._write_ledger(next_ledger.unwrap(), now_s)

    def _write_ledger(
        self, ledger: Ledger, now_s: float
    ) -> tuple[Action, ...]:
        assert self._row is not None
        self._has_pending_io = True
        self._last_attempt_at_s = now_s
        self._pending_ledger = ledger
        transaction = ledger_rows.build_transaction(self._row, ledger)
        return (WriteLedger(self.share.organisation_id, transaction),)

    def on_written(
        self, outcome: TransactionOutcome, now_s: float
    ) -> tuple[Action, ...]:
        """Apply a committed ledger.

        The row is read again after a conflict or an unknown outcome; a write
        that was not applied is retried by on_time_passed.
        """
        self._has_pending_io = False
        written, self._pending_ledger = self._pending_ledger, None
        match outcome:
            case Committed() if written is not None:
                self._apply_ledger(written, now_s)
                return self._announce_epoch(written)
            case NotApplied():
                return ()
        return self.read_ledger(now_s)

    def _announce_epoch(self, ledger: Ledger) -> tuple[Action, ...]:
        return tuple(
            Send(
                peer_id,
                EpochOpened(self.share.organisation_id, ledger.epoch, peer_id),
            )
            for peer_id in self.share.peers_by_id
        )
