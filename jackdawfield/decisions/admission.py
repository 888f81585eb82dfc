"""Admit, queue or refuse the requests of an organisation."""

from collections import OrderedDict
from dataclasses import dataclass
import math

from jackdawfield.decisions.placement import rendezvous_score
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import Admit
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import Refuse
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rate_events import WakeAt
from jackdawfield.decisions.settlement import LedgerManager
from jackdawfield.decisions.shares import Share
from jackdawfield.decisions.shares import ShareState
from jackdawfield.messages.rates import Ask
from jackdawfield.messages.rates import Grant
from jackdawfield.messages.rates import GrantReceived
from jackdawfield.messages.rates import HolderAnswer
from jackdawfield.messages.rates import HolderId
from jackdawfield.messages.rates import RateRefusal
from jackdawfield.messages.rates import RefusalReason
from jackdawfield.messages.rates import RequestId

MIN_WAKE_DELAY_S = 0.001


@dataclass(slots=True)
class _AskRound:
    """Holds the peers asked at once and yet to answer, and those to ask next.

    `ask_sequence` is the number that all asks of the round share.
    """

    ask_sequence: int
    ends_at_s: float
    unanswered_ids: set[HolderId]
    fallback_ids: list[HolderId]


class Admission:
    """Admits each request of one organisation once against its share.

    A request that finds no token is queued, at most for `ask_limit_ms`, and
    peers are asked for tokens: first those that may hold parts and, if their
    answers bring no token, the others. A request that cannot be admitted in
    time is refused.

    `_tokens_left_by_peer` holds what each peer answered in the last round,
    None for a peer that has not answered.
    """

    __slots__ = (
        '_admitted_at_by_request_id',
        '_deadline_by_request_id',
        '_handover_sent_at_s',
        '_handover_sequence',
        '_last_round_at_s',
        '_round',
        '_settings',
        '_tokens_left_by_peer',
        '_wake_at_s',
        'ledger_manager',
        'share',
    )

    def __init__(
        self,
        share: Share,
        ledger_manager: LedgerManager,
        settings: RateSettings,
    ) -> None:
        self.share = share
        self.ledger_manager = ledger_manager
        self._settings = settings
        self._deadline_by_request_id: OrderedDict[RequestId, float] = (
            OrderedDict()
        )
        self._admitted_at_by_request_id: OrderedDict[RequestId, float] = (
            OrderedDict()
        )
        self._tokens_left_by_peer: dict[HolderId, float | None] = {}
        self._round: _AskRound | None = None
        self._last_round_at_s = -math.inf
        self._handover_sequence = 0
        self._handover_sent_at_s = 0.0
        self._wake_at_s = math.inf

    def admit(self, request_id: RequestId, now_s: float) -> tuple[Action, ...]:
        """Queue a request and serve the queue; a repeat is not counted."""
        if request_id in self._admitted_at_by_request_id:
            return (Admit(self.share.organisation_id, request_id),)
        if request_id in self._deadline_by_request_id:
            return ()
        self.share.demand.record_arrival(now_s)
        limit_s = self._settings.ask_limit_ms / 1000
        self._deadline_by_request_id[request_id] = now_s + limit_s
        return self.serve_queue(now_s)

    def refuse_all(self, reason: RefusalReason) -> tuple[Action, ...]:
        """Refuse every queued request."""
        return self._refuse(list(self._deadline_by_request_id), reason)

    def serve_queue(self, now_s: float) -> tuple[Action, ...]:
        """Admit queued requests in order, then ask peers or refuse."""
        share = self.share
        actions: list[Action] = []
        while self._deadline_by_request_id and share.bucket.take(now_s):
            request_id, _ = self._deadline_by_request_id.popitem(last=False)
            self._admitted_at_by_request_id[request_id] = now_s
            actions.append(Admit(share.organisation_id, request_id))
        if not self._deadline_by_request_id:
            return tuple(actions)
        actions += self._start_round(now_s)
        if self._round is None:
            actions += self._refuse_unservable(now_s)
        return (*actions, *self._schedule_wake(now_s))

    def _start_round(self, now_s: float) -> tuple[Action, ...]:
        if self._round is not None or not self._may_ask(now_s):
            return ()
        likely = self.share.likely_givers(now_s)
        unlikely = self.share.unlikely_givers(now_s)
        ends_at_s = now_s + self._settings.ask_limit_ms / 1000
        if likely:
            asks = self._send_asks(likely, unlikely, ends_at_s, now_s)
        else:
            asks = self._send_asks(unlikely, [], ends_at_s, now_s)
        if asks:
            self._last_round_at_s = now_s
            self._tokens_left_by_peer = dict.fromkeys(self.share.peers_by_id)
        return asks

    def _send_asks(
        self,
        peer_ids: list[HolderId],
        fallback_ids: list[HolderId],
        ends_at_s: float,
        now_s: float,
    ) -> tuple[Action, ...]:
        share = self.share
        queued = len(self._deadline_by_request_id)
        needed_tokens = min(queued, share.bucket.contract.burst)
        asks = share.create_asks(
            peer_ids, needed_tokens - share.bucket.tokens, now_s
        )
        if not asks:
            return ()
        self._round = _AskRound(
            asks[0].sequence,
            ends_at_s,
            {ask.giver for ask in asks},
            fallback_ids,
        )
        return tuple(Send(ask.giver, ask) for ask in asks)

    def _ask_fallback_peers(self, now_s: float) -> tuple[Action, ...]:
        current = self._round
        if (
            current is None
            or current.unanswered_ids
            or not current.fallback_ids
        ):
            return ()
        if self.share.bucket.tokens >= 1 or now_s >= current.ends_at_s:
            return ()
        return self._send_asks(
            current.fallback_ids, [], current.ends_at_s, now_s
        )

    def _may_ask(self, now_s: float) -> bool:
        bucket = self.share.bucket
        if bucket.wait_s(1.0) <= self._settings.ask_min_wait_ms / 1000:
            return False
        elapsed_s = now_s - self._last_round_at_s
        if elapsed_s >= self._settings.ask_interval_ms / 1000:
            return True
        # The tokens that the peers reported, with those refilled since.
        expected_tokens = sum(
            peer.tokens_left + elapsed_s * peer.spare_per_s
            for peer in self.share.peers_by_id.values()
        )
        return bucket.tokens + expected_tokens >= 1

    def _refuse_unservable(self, now_s: float) -> tuple[Action, ...]:
        if self.share.state is ShareState.JOINING:
            overdue = [
                request_id
                for request_id, due_s in self._deadline_by_request_id.items()
                if due_s <= now_s
            ]
            return self._refuse(overdue, RefusalReason.NO_SHARE)
        unservable = []
        ahead = 0  # The requests served before this one.
        for request_id, due_s in self._deadline_by_request_id.items():
            if now_s + self.share.bucket.wait_s(ahead + 1.0) > due_s:
                unservable.append(request_id)
                continue
            ahead += 1
        return self._refuse(unservable, RefusalReason.OVER_RATE)

    def _refuse(
        self, request_ids: list[RequestId], reason: RefusalReason
    ) -> tuple[Action, ...]:
        if not request_ids:
            return ()
        answers = tuple(
            HolderAnswer(peer_id, tokens_left)
            for peer_id, tokens_left in self._tokens_left_by_peer.items()
        )
        refusal = RateRefusal(reason, _retry_after_s(self.share), answers)
        for request_id in request_ids:
            del self._deadline_by_request_id[request_id]
        return tuple(
            Refuse(self.share.organisation_id, request_id, refusal)
            for request_id in request_ids
        )

    def _schedule_wake(self, now_s: float) -> tuple[Action, ...]:
        if not self._deadline_by_request_id:
            return ()
        at_s = next(iter(self._deadline_by_request_id.values()))
        at_s = min(at_s, now_s + self.share.bucket.wait_s(1.0))
        if self._round is not None:
            at_s = min(at_s, self._round.ends_at_s)
        at_s = max(at_s, now_s + MIN_WAKE_DELAY_S)
        if self._wake_at_s <= at_s:
            return ()
        self._wake_at_s = at_s
        return (WakeAt(self.share.organisation_id, at_s),)

    def on_wake(self, now_s: float) -> tuple[Action, ...]:
        """End a round that is due and serve the queue."""
        if self._wake_at_s <= now_s:
            self._wake_at_s = math.inf
        self._end_round_if_due(now_s)
        return self.serve_queue(now_s)

    def _end_round_if_due(self, now_s: float) -> None:
        if self._round is None:
            return
        if self._round.unanswered_ids and now_s < self._round.ends_at_s:
            return
        skip_until_s = now_s + self._settings.peer_backoff_s
        for peer_id in self._round.unanswered_ids:
            self.share.mark_unresponsive(peer_id, skip_until_s)
            self.ledger_manager.schedule(now_s)
        self._round = None

    def answer_ask(self, ask: Ask, now_s: float) -> tuple[Action, ...]:
        """Answer a peer's ask; read the ledger first if its epoch is newer."""
        if ask.epoch > self.share.epoch:
            return self.ledger_manager.read_ledger(now_s)
        grant = self.share.answer_ask(ask, now_s)
        if grant is None:
            return ()
        return (Send(ask.asker, grant),)

    def accept_grant(self, grant: Grant, now_s: float) -> tuple[Action, ...]:
        """Add a grant to the share and serve the queue."""
        self.share.accept_grant(grant, now_s)
        if grant.ask_sequence == 0:
            confirmed = Send(grant.giver, self.share.confirm(grant))
            return (confirmed, *self.serve_queue(now_s))
        if self._round and grant.ask_sequence == self._round.ask_sequence:
            self._round.unanswered_ids.discard(grant.giver)
            self._tokens_left_by_peer[grant.giver] = grant.tokens_left
            self.share.bucket.refill(now_s)
            asks = self._ask_fallback_peers(now_s)
            self._end_round_if_due(now_s)
            return asks + self.serve_queue(now_s)
        return self.serve_queue(now_s)

    def on_confirmed(self, message: GrantReceived) -> None:
        """Record that the receiver has confirmed a handover."""
        if message.sequence == self._handover_sequence:
            self._handover_sequence = 0

    def drop_old_requests(self, now_s: float) -> None:
        """Drop the ids of admitted requests too old to be repeated."""
        admitted = self._admitted_at_by_request_id
        while admitted:
            request_id, admitted_at_s = next(iter(admitted.items()))
            if now_s - admitted_at_s < self._settings.dedup_s:
                return
            del admitted[request_id]

    def consolidate(self, now_s: float) -> tuple[Action, ...]:
        """Gather an idle contract at one holder by a handover of the share."""
        idle_s = now_s - self.share.demand.last_arrival_at_s
        if idle_s < self._settings.consolidate_after_s:
            return ()
        return self.hand_over(now_s, leaving=False)

    def hand_over(self, now_s: float, leaving: bool) -> tuple[Action, ...]:
        """Send the share to the responsive holder with the highest score.

        The holder itself is a candidate unless its instance is leaving. The
        score is the rendezvous score of the holder for the organisation.
        """
        if self._handover_sequence:
            self._check_handover(now_s)
            return ()
        receiver = self._choose_receiver(leaving)
        if receiver == self.share.holder_id:
            return ()
        grant = self.share.hand_over(receiver, now_s)
        if grant is None:
            return ()
        self._handover_sequence = grant.sequence
        self._handover_sent_at_s = now_s
        return (Send(receiver, grant),)

    def _check_handover(self, now_s: float) -> None:
        waited_s = now_s - self._handover_sent_at_s
        if waited_s >= self._settings.settle_delay_s:
            self._handover_sequence = 0
            self.ledger_manager.schedule(now_s)

    def _choose_receiver(self, leaving: bool) -> HolderId:
        share = self.share
        candidates = [
            peer_id
            for peer_id, peer in share.peers_by_id.items()
            if not peer.is_unresponsive
        ]
        if not leaving:
            candidates.append(share.holder_id)
        return max(
            candidates,
            key=lambda peer_id: rendezvous_score(
                share.organisation_id, peer_id
            ),
            default=share.holder_id,
        )


def _retry_after_s(share: Share) -> float:
    """Return the least time until this share or a peer may have a token."""
    contract = share.bucket.contract
    if contract.rate_per_s <= 0:
        return 60.0
    peer_tokens = sum(peer.tokens_left for peer in share.peers_by_id.values())
    missing = max(0.0, 1 - share.bucket.tokens - peer_tokens)
    return min(share.bucket.wait_s(1.0), missing / contract.rate_per_s)
