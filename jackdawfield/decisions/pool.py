"""Schedule the calls of a pool on its backend servers.

A steward is the instance that schedules a pool in its failure domain. A home
is the instance that runs a program and submits the program's calls.
"""

from collections.abc import Iterator

from jackdawfield.decisions.early_refusal import late_reason
from jackdawfield.decisions.early_refusal import latest_start_s
from jackdawfield.decisions.early_refusal import ReturnSchedule
from jackdawfield.decisions.finish_queue import FinishOrder
from jackdawfield.decisions.finish_queue import FinishQueue
from jackdawfield.decisions.inflight import GrantedCall
from jackdawfield.decisions.inflight import InFlight
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import CacheReport
from jackdawfield.decisions.pool_events import Cancelled
from jackdawfield.decisions.pool_events import ContextEnded
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import LoadReport
from jackdawfield.decisions.pool_events import PeerLost
from jackdawfield.decisions.pool_events import PeerReport
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import RefusalReason
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServerAvoided
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import SpillObstacle
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.decisions.queueing import FairQueue
from jackdawfield.decisions.queueing import QueuedRequest
from jackdawfield.decisions.queueing import QueueSettings
from jackdawfield.decisions.queueing import SlotSupply
from jackdawfield.decisions.slot_offers import slots_for_others
from jackdawfield.decisions.slot_offers import slots_to_offer
from jackdawfield.decisions.slot_shares import SlotShares
from jackdawfield.decisions.spilling import OwnFinish
from jackdawfield.decisions.spilling import PeerDomains
from jackdawfield.decisions.windows import best_token_s
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

MIN_QUEUE_LIMIT = 16
NO_SERVER_RETRY_S = 1.0


class Pool:
    """Queues requests and grants slots on the servers of one pool."""

    def __init__(self, region_id: RegionId, settings: PoolSettings) -> None:
        self._settings = settings
        self._shares = SlotShares(settings.shares)
        self._queue = create_queue(settings.queue, self._shares)
        self._returns = ReturnSchedule(settings.refusal)
        self._peers = PeerDomains(region_id, settings.spill)
        self._in_flight = InFlight(settings)
        self._renewed_at_s_by_home: dict[InstanceId, float] = {}

    def on(self, event: Event) -> tuple[Action, ...]:
        """Handle an event and return the resulting actions."""
        match event:
            case RequestSubmitted(now_s, demand):
                return self._submit(demand, now_s)
            case TimePassed(now_s):
                return self._time_passed(now_s)
            case GrantAdopted():
                self._adopt(event)
            case FirstToken(now_s, request_id):
                self._in_flight.record_first_token(request_id, now_s)
            case HomeRenewed(now_s, home_id):
                self._renewed_at_s_by_home[home_id] = now_s
            case CacheReport(_, server_id, prefixes, complete):
                caches = self._in_flight.caches
                caches.apply_report(server_id, prefixes, complete)
            case ContextEnded(_, context_id):
                self._in_flight.caches.remove_context(context_id)
                self._peers.moved_contexts.remove(context_id)
            case PeerReport():
                self._peers.record_report(event)
            case PeerLost(_, domain_id):
                self._peers.remove(domain_id)
            case ServerAvoided(_, server_id, until_s):
                self._in_flight.avoid_server(server_id, until_s)
            case _:
                self._handle_capacity_event(event)
                return self._dispatch(event.now_s)
        return ()

    def create_peer_report(
        self, domain_id: DomainId, region_id: RegionId, now_s: float
    ) -> PeerReport:
        """Return the load report for the stewards of other domains."""
        usable = self._in_flight.usable_windows(now_s)
        return PeerReport(
            now_s=now_s,
            domain_id=domain_id,
            region_id=region_id,
            usable=bool(usable),
            wait_s=self._queue_wait_s(now_s),
            open_slots=slots_to_offer(
                self._slots_for_others(now_s),
                self._in_flight.count_of_others(),
                self._in_flight.mean_call_s,
                len(self._queue),
                self._settings.spill,
            ),
            call_s=self._in_flight.mean_slot_wait_s(now_s),
            token_s=best_token_s(usable),
            queued=len(self._queue),
            link_bytes=self._peers.link_bytes(now_s),
        )

    def find_spill_obstacle(
        self, domain_id: DomainId, now_s: float
    ) -> SpillObstacle:
        """Return why no request is sent to another domain now."""
        return self._peers.find_obstacle(domain_id, now_s)

    def _slots_for_others(self, now_s: float) -> int:
        usable = self._in_flight.usable_windows(now_s)
        return slots_for_others(
            sum(window.open_slots(now_s) for window in usable),
            self._in_flight.usable_limit(now_s),
            len(self._queue),
            self._settings.spill,
        )

    def _handle_capacity_event(
        self,
        event: Finished | Failed | Cancelled | LoadReport | ServersChanged,
    ) -> None:
        match event:
            case Finished():
                self._on_finished(event)
            case Failed(_, request_id, _):
                call = self._release(request_id)
                if call is not None:
                    self._in_flight.record_failure(event, call)
            case Cancelled(_, request_id):
                self._queue.remove(request_id)
                self._release(request_id)
            case LoadReport():
                self._in_flight.apply_load_report(event)
            case ServersChanged():
                self._in_flight.update_servers(event)

    def _adopt(self, event: GrantAdopted) -> None:
        demand = event.demand
        if self._is_tracked(demand.request_id):
            return
        self._renewed_at_s_by_home[demand.home_id] = event.now_s
        call = self._in_flight.adopt(event)
        if call is not None:
            self._charge_grant(call, event.now_s)

    def _charge_grant(self, call: GrantedCall, now_s: float) -> None:
        demand = call.demand
        organisation_id = demand.organisation_id
        self._shares.record_grant(organisation_id, demand.weight, now_s)
        self._queue.charge(organisation_id, call.charged_tokens, demand.weight)

    def _on_finished(self, event: Finished) -> None:
        call = self._release(event.request_id)
        if call is None:
            return
        correction = self._in_flight.record_finish(event, call)
        demand = call.demand
        self._queue.charge(demand.organisation_id, correction, demand.weight)

    def _release(self, request_id: RequestId) -> GrantedCall | None:
        call = self._in_flight.release(request_id)
        if call is not None:
            self._shares.record_release(call.demand.organisation_id)
        return call

    def _submit(self, demand: SlotDemand, now_s: float) -> tuple[Action, ...]:
        self._renewed_at_s_by_home[demand.home_id] = now_s
        if self._is_tracked(demand.request_id):
            return ()
        if demand.needs_open_slot and not self._slots_for_others(now_s):
            reason = RefusalReason.NO_OPEN_SLOT
            return (Refuse(demand.request_id, reason, 0.0),)
        self._peers.record_submitted(demand, now_s)
        wait_s = self._expected_wait_s(demand, now_s)
        spill = self._choose_spill(demand, wait_s, now_s)
        if spill is not None:
            self._peers.record_spill(demand, spill, now_s)
            return (spill,)
        self._peers.moved_contexts.remove(demand.context_id)
        self._queue.record_submitted(demand, now_s)
        refusal = self._refuse_early(demand, wait_s, now_s)
        if refusal is not None:
            return (refusal,)
        cached_tokens = self._in_flight.caches.max_cached_tokens(
            demand.context_id
        )
        latest_start_s = self._latest_start_s(demand, now_s)
        self._queue.push(demand, now_s, cached_tokens, latest_start_s)
        self._shares.record_request(
            demand.organisation_id, demand.weight, now_s
        )
        return self._enforce_queue_limit(now_s, wait_s) + self._dispatch(now_s)

    def _is_tracked(self, request_id: RequestId) -> bool:
        return request_id in self._queue or request_id in self._in_flight

    def _choose_spill(
        self, demand: SlotDemand, wait_s: float, now_s: float
    ) -> Spill | None:
        if not demand.may_spill:
            return None
        own = self._own_finish(demand, wait_s, now_s)
        if own is None:
            return self._peers.choose_fallback(demand, now_s)
        spill = self._peers.choose_faster(demand, own, now_s)
        if spill is not None or not wait_s:
            return spill
        if now_s + wait_s <= self._latest_start_s(demand, now_s):
            return None
        return self._peers.choose_rescue(demand, now_s)

    def _enforce_queue_limit(
        self, now_s: float, wait_s: float
    ) -> tuple[Action, ...]:
        slots = self._in_flight.total_slots()
        limit = max(
            MIN_QUEUE_LIMIT, int(slots * self._settings.waiting_per_slot)
        )
        if len(self._queue) <= limit:
            return ()
        dropped = self._queue.first_to_evict(self._supply(now_s))
        self._queue.remove(dropped.demand.request_id)
        reason = RefusalReason.QUEUE_FULL
        return (self._refuse(dropped.demand, reason, wait_s, now_s),)

    def _refuse_early(
        self, demand: SlotDemand, wait_s: float, now_s: float
    ) -> Refuse | None:
        if not self._settings.refuse_early:
            return None
        if self._in_flight.fits_no_server(demand):
            reason = RefusalReason.NO_SERVER
            return self._refuse(demand, reason, wait_s, now_s)
        latest_s = demand.deadline_s
        if wait_s:
            latest_s = self._latest_start_s(demand, now_s)
        if now_s + wait_s <= latest_s:
            return None
        return self._refuse_late(demand, wait_s, now_s)

    def _refuse_late(
        self, demand: SlotDemand, wait_s: float, now_s: float
    ) -> Refuse:
        reason = late_reason(
            demand,
            now_s + wait_s,
            self._in_flight.mean_call_s,
            self._settings.refusal,
        )
        return self._refuse(demand, reason, wait_s, now_s)

    def _refuse(
        self,
        demand: SlotDemand,
        reason: RefusalReason,
        wait_s: float,
        now_s: float,
    ) -> Refuse:
        if reason == RefusalReason.NO_SERVER:
            return Refuse(demand.request_id, reason, NO_SERVER_RETRY_S)
        longest_wait_s = self._latest_start_s(demand, now_s) - now_s
        after_s = self._returns.retry_after_s(
            demand.begins_program,
            wait_s,
            longest_wait_s,
            self._in_flight.mean_slot_wait_s(now_s),
            now_s,
        )
        return Refuse(demand.request_id, reason, after_s)

    def _latest_start_s(
        self, demand: SlotDemand, submitted_at_s: float
    ) -> float:
        return latest_start_s(
            demand,
            submitted_at_s,
            self._in_flight.mean_call_s,
            self._settings.refusal,
        )

    def _supply(self, now_s: float) -> SlotSupply:
        slots = self._in_flight.usable_limit(now_s)
        return SlotSupply(now_s, slots, self._in_flight.mean_call_s)

    def _dispatch(self, now_s: float) -> tuple[Action, ...]:
        if not len(self._queue):
            return ()
        actions: list[Action] = []
        over_share_ids: set[OrganisationId] = set()
        reserved_ids: set[ServerId] = set()
        skipped: list[QueuedRequest] = []
        supply = self._supply(now_s)
        while len(skipped) < self._settings.scan_limit:
            if not self._in_flight.has_open_slot(now_s):
                break
            queued = self._queue.pop(over_share_ids, supply)
            if queued is None:
                break
            demand = queued.demand
            if not self._shares.allows(
                demand.organisation_id, supply.slots, now_s
            ):
                over_share_ids.add(demand.organisation_id)
                self._queue.restore(queued)
                continue
            choice = self._in_flight.choose_server(demand, now_s, reserved_ids)
            if choice is None or not choice.is_open:
                skipped.append(queued)
                reserved_id = self._in_flight.choose_reserved(demand, now_s)
                if reserved_id is not None:
                    reserved_ids.add(reserved_id)
                continue
            grant = self._grant(queued, choice.server_id, now_s)
            if grant is not None:
                actions.append(grant)
        for queued in skipped:
            self._queue.restore(queued)
        return tuple(actions)

    def _grant(
        self, queued: QueuedRequest, server_id: ServerId, now_s: float
    ) -> Grant | None:
        demand = queued.demand
        call = self._in_flight.grant(demand, server_id, now_s)
        if call is None:
            return None
        self._charge_grant(call, now_s)
        self._queue.record_grant(queued)
        self._returns.record_grant(demand.begins_program)
        return Grant(demand.request_id, server_id)

    def _time_passed(self, now_s: float) -> tuple[Action, ...]:
        expired = tuple(self._expire_homes(now_s))
        recalled = tuple(self._recall_stalled(now_s))
        self._in_flight.mark_slow_servers(self._peers.best_token_s())
        overdue = tuple(self._clear_unservable(now_s))
        spilled = tuple(self._spill_queued(now_s))
        rest = overdue + spilled + self._dispatch(now_s)
        return expired + recalled + rest

    def _expire_homes(self, now_s: float) -> Iterator[Action]:
        oldest_s = now_s - self._settings.home_ttl_s
        expired_home_ids = {
            home_id
            for home_id, renewed_s in self._renewed_at_s_by_home.items()
            if renewed_s < oldest_s
        }
        if not expired_home_ids:
            return
        for home_id in expired_home_ids:
            del self._renewed_at_s_by_home[home_id]
        for queued in self._queue:
            if queued.demand.home_id in expired_home_ids:
                self._queue.remove(queued.demand.request_id)
                yield Expire(queued.demand.request_id, None)
        for call in self._in_flight.calls_of_homes(expired_home_ids):
            self._release(call.demand.request_id)
            yield Expire(call.demand.request_id, call.server_id)

    def _recall_stalled(self, now_s: float) -> Iterator[Action]:
        if not self._settings.recalls_stalled:
            return
        for call in self._in_flight.eject_stalled(now_s):
            self._release(call.demand.request_id)
            yield Recall(call.demand.request_id, call.server_id)

    def _clear_unservable(self, now_s: float) -> Iterator[Action]:
        has_no_server = not self._in_flight.usable_windows(now_s)
        earliest_s = now_s + self._outage_s(now_s)
        for queued in self._queue:
            demand = queued.demand
            spill = None
            is_late = earliest_s >= queued.latest_start_s
            if has_no_server and demand.may_spill:
                if now_s < queued.latest_start_s:
                    spill = self._peers.choose_fallback(demand, now_s)
            elif is_late:
                spill = self._peers.choose_rescue(demand, now_s)
            if spill is not None:
                self._peers.record_spill(demand, spill, now_s)
                self._queue.remove(demand.request_id)
                yield spill
            elif is_late:
                self._queue.remove(demand.request_id)
                wait_s = self._returning_wait_s(demand, now_s)
                yield self._refuse_late(demand, wait_s, now_s)

    def _spill_queued(self, now_s: float) -> Iterator[Action]:
        spills_left = self._settings.spills_per_tick
        misses_left = self._settings.scan_limit
        for queued in self._queue:
            demand = queued.demand
            if not spills_left or not misses_left:
                return
            own = self._queued_finish(queued, now_s)
            if own is None or not demand.may_spill:
                continue
            spill = self._peers.choose_faster(demand, own, now_s)
            if spill is None:
                misses_left -= 1
                continue
            spills_left -= 1
            self._peers.record_spill(demand, spill, now_s)
            self._queue.remove(demand.request_id)
            yield spill

    def _queued_finish(
        self, queued: QueuedRequest, now_s: float
    ) -> OwnFinish | None:
        """Return what a request would take here, None if it must stay."""
        demand = queued.demand
        wait_s = self._queue_wait_s(now_s)
        if not self._settings.spill.expects_past_wait:
            caches = self._in_flight.caches
            is_cached = caches.max_cached_tokens(demand.context_id) > 0
            return None if is_cached else OwnFinish(wait_s, wait_s)
        wait_s = max(wait_s, now_s - queued.enqueued_at_s)
        own = self._own_finish(demand, wait_s, now_s)
        return own or OwnFinish(wait_s, wait_s)

    def _own_finish(
        self, demand: SlotDemand, wait_s: float, now_s: float
    ) -> OwnFinish | None:
        choice = self._in_flight.choose_server(demand, now_s)
        if choice is None:
            return None
        window = self._in_flight.window(choice.server_id)
        return self._peers.expected_finish(
            demand, wait_s, choice.prefill_tokens, window
        )

    def _expected_wait_s(self, demand: SlotDemand, now_s: float) -> float:
        if not len(self._queue) and self._in_flight.has_open_slot(now_s):
            return 0.0
        turns = self._queue.count_turns_before(demand, self._supply(now_s))
        return self._outage_s(now_s) + (1 + turns) * self._turn_s(now_s)

    def _turn_s(self, now_s: float) -> float:
        is_outage = not self._in_flight.usable_limit(now_s)
        if is_outage and self._settings.refusal.counts_outage:
            slots = max(1, self._in_flight.total_slots())
            return self._in_flight.mean_call_s / slots
        return self._in_flight.mean_slot_wait_s(now_s)

    def _outage_s(self, now_s: float) -> float:
        if not self._settings.refusal.counts_outage:
            return 0.0
        return self._in_flight.opens_in_s(now_s)

    def _returning_wait_s(self, demand: SlotDemand, now_s: float) -> float:
        if not self._settings.refusal.spaces_returns:
            return 0.0
        return self._expected_wait_s(demand, now_s)

    def _queue_wait_s(self, now_s: float) -> float:
        if not len(self._queue) and self._in_flight.has_open_slot(now_s):
            return 0.0
        return (1 + len(self._queue)) * self._in_flight.mean_slot_wait_s(now_s)


def create_queue(
    settings: QueueSettings | FinishOrder, shares: SlotShares
) -> FairQueue | FinishQueue:
    """Return an empty queue with the order that the settings name."""
    match settings:
        case QueueSettings():
            return FairQueue(settings)
        case FinishOrder():
            return FinishQueue(settings, shares)
