"""Route calls by the decisions of one steward per pool and domain.

A steward is the instance that schedules a pool in its failure domain.
"""

from dataclasses import dataclass
from random import Random

from bench._engine import FakeEngine
from bench._fleet import Call
from bench._fleet import DOMAIN_DELAY_S
from bench._fleet import Fleet
from bench._fleet import ProgramRun
from bench._fleet import REGION_DELAY_S
from bench._workload import ORGANISATION_SHARES
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.pool import Pool
from jackdawfield.decisions.pool_events import Action
from jackdawfield.decisions.pool_events import CachedPrefix
from jackdawfield.decisions.pool_events import CacheReport
from jackdawfield.decisions.pool_events import ContextEnded
from jackdawfield.decisions.pool_events import Event
from jackdawfield.decisions.pool_events import Expire
from jackdawfield.decisions.pool_events import Failed
from jackdawfield.decisions.pool_events import FailureKind
from jackdawfield.decisions.pool_events import Finished
from jackdawfield.decisions.pool_events import FirstToken
from jackdawfield.decisions.pool_events import Grant
from jackdawfield.decisions.pool_events import GrantAdopted
from jackdawfield.decisions.pool_events import HomeRenewed
from jackdawfield.decisions.pool_events import LoadReport
from jackdawfield.decisions.pool_events import PeerLost
from jackdawfield.decisions.pool_events import Recall
from jackdawfield.decisions.pool_events import Refuse
from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import RequestSubmitted
from jackdawfield.decisions.pool_events import ServersChanged
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.decisions.pool_events import Spill
from jackdawfield.decisions.pool_events import TimePassed
from jackdawfield.decisions.pool_settings import PoolSettings
from jackdawfield.model import BackendServer
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId

TICK_INTERVAL_S = 0.5
LOAD_REPORT_LAG_S = 1.0
CACHE_REPORT_LAG_S = 2.0
EVICTION_REPORT_LOSS = 0.05
TAKEOVER_S = 0.2
INSTANCES_PER_DOMAIN = 3
EXPECTED_OUTPUT_TOKENS = 180


@dataclass(frozen=True, slots=True)
class Place:
    """Identifies a steward by its domain, its pool and, if only one, server.

    The steward's instance is chosen by a hash of the `repr`: the names of
    the class and its fields affect the results of seeded runs.
    """

    domain: str
    pool: str
    server_id: str = ''


class Stewards:
    """Runs a steward for each pool of each failure domain."""

    def __init__(
        self, fleet: Fleet, settings: PoolSettings, release: bool = True
    ) -> None:
        self._releases_ended = release
        self._fleet = fleet
        self._settings = settings
        self._random = Random('cache gaps')
        self._pools: dict[Place, Pool] = {}
        self._moving: set[Place] = set()
        self._place_by_context: dict[str, Place] = {}
        self._calls_by_name: dict[str, Call] = {}
        self._place_by_call: dict[str, Place] = {}
        self._listed_ids_by_place: dict[Place, frozenset[ServerId]] = {}
        for place in self._places():
            self._create_pool(place)
        self._tick()

    def _places(self) -> list[Place]:
        domains = self._fleet.deployment.domains
        pools = ('chat', 'orders')
        return [Place(d.name, pool) for d in domains for pool in pools]

    def submit(self, call: Call) -> None:
        """Submit a call to the steward that last served its context.

        Without one, or if it is unreachable, the local steward is asked.
        """
        local = Place(call.domain, call.pool)
        place = self._place_by_context.get(call.context_id, local)
        if self._fleet.is_partitioned(place.domain, call.domain):
            place = local
        self._submit_at(call, place, may_spill=True)

    def on_started(self, call: Call) -> None:
        """Notify the steward of a first token."""
        event = FirstToken(self._now_s(), RequestId(call.name))
        self._notify(call, event)

    def on_finished(self, call: Call) -> None:
        """Notify the steward of the end of a call."""
        event = Finished(
            self._now_s(),
            RequestId(call.name),
            call.prompt_tokens,
            call.cached_tokens,
            call.output_tokens,
        )
        self._notify(call, event)
        place = self._place_by_call.get(call.name)
        if place is not None and call.pool == 'chat':
            self._record_place(call, place)
        self._remove_call(call)

    def _record_place(self, call: Call, place: Place) -> None:
        region = self._fleet.region(call.domain)
        if self._fleet.region(place.domain) == region:
            self._place_by_context[call.context_id] = place
            return
        self._place_by_context.pop(call.context_id, None)

    def on_failed(self, call: Call, kind: FailureKind) -> None:
        """Notify the steward of the failure of a call."""
        self._place_by_context.pop(call.context_id, None)
        self._notify(call, Failed(self._now_s(), RequestId(call.name), kind))
        self._remove_call(call)

    def on_context_ended(self, run: ProgramRun, context_id: str) -> None:
        """Release an ended context in the stewards and, if set, engines."""
        self._place_by_context.pop(context_id, None)
        event = ContextEnded(self._now_s(), ProgramId(context_id))
        for place in self._pools:
            if place.pool == 'chat':
                self._process_event(place, event)
        if not self._releases_ended:
            return
        for host in self._fleet.hosts_by_id.values():
            if isinstance(host, FakeEngine):
                host.release_context(context_id)

    def on_instance_restarted(self, domain: str, instance: int) -> None:
        """Move the stewards of a restarting instance to its successors."""
        names = [InstanceId(str(n)) for n in range(INSTANCES_PER_DOMAIN)]
        for place in self._places():
            if place.domain != domain:
                continue
            if choose_owner(f'pool:{place}', names) != str(instance):
                continue
            self._moving.add(place)
            self._fleet.clock.call_later(TAKEOVER_S, self._take_over, place)

    def _take_over(self, place: Place) -> None:
        self._moving.discard(place)
        self._create_pool(place)
        for name, call_place in tuple(self._place_by_call.items()):
            if call_place != place:
                continue
            call = self._calls_by_name[name]
            demand = self._create_demand(call, may_spill=False)
            if call.job is None or call.server is None:
                self._process_event(
                    place, RequestSubmitted(self._now_s(), demand)
                )
                continue
            server_id = call.server.server_id
            adopt = GrantAdopted(
                self._now_s(), demand, server_id, call.started
            )
            self._process_event(place, adopt)
        self._report_cached_contexts(place)

    def _report_cached_contexts(self, place: Place) -> None:
        for server_id, server in self._fleet.servers_by_id.items():
            host = self._fleet.hosts_by_id[server_id]
            if not self._serves(place, server):
                continue
            if not isinstance(host, FakeEngine):
                continue
            prefixes = tuple(
                CachedPrefix(ProgramId(name), tokens)
                for name, tokens in host.cached_contexts()
            )
            report = CacheReport(self._now_s(), server_id, prefixes, True)
            self._fleet.clock.call_later(
                CACHE_REPORT_LAG_S, self._process_event, place, report
            )

    def _create_pool(self, place: Place) -> None:
        region = RegionId(self._fleet.region(place.domain))
        self._pools[place] = Pool(region, self._settings)
        self._listed_ids_by_place.pop(place, None)
        self._update_servers(place)

    def _serves(self, place: Place, server: BackendServer) -> bool:
        if place.server_id and place.server_id != server.server_id:
            return False
        return (place.domain, place.pool) == (server.domain_id, server.pool)

    def _update_servers(self, place: Place) -> None:
        servers = tuple(
            server
            for server in self._fleet.pool_servers(place.pool)
            if self._serves(place, server)
        )
        ids = frozenset(server.server_id for server in servers)
        if self._listed_ids_by_place.get(place) == ids:
            return
        self._listed_ids_by_place[place] = ids
        self._process_event(place, ServersChanged(self._now_s(), servers))

    def _submit_at(self, call: Call, place: Place, may_spill: bool) -> None:
        self._calls_by_name[call.name] = call
        self._place_by_call[call.name] = place
        event = RequestSubmitted(
            self._now_s(), self._create_demand(call, may_spill)
        )
        delay_s = self._link_delay_s(call.domain, place.domain)
        self._fleet.clock.call_later(
            delay_s, self._process_event, place, event
        )

    def _create_demand(self, call: Call, may_spill: bool) -> SlotDemand:
        organisation = call.run.program.organisation
        return SlotDemand(
            request_id=RequestId(call.name),
            home_id=InstanceId(call.domain),
            organisation_id=OrganisationId(str(organisation)),
            context_id=ProgramId(call.context_id),
            prompt_tokens=call.prompt_tokens,
            output_tokens=EXPECTED_OUTPUT_TOKENS
            if call.pool == 'chat'
            else 20,
            deadline_s=call.deadline_s,
            weight=ORGANISATION_SHARES[organisation]
            * len(ORGANISATION_SHARES),
            attained_tokens=call.run.attained_tokens,
            waited_s=self._now_s() - call.arrival_s,
            repeatable=call.pool == 'chat',
            may_spill=may_spill,
            avoided_server_ids=frozenset(call.avoided),
        )

    def _notify(self, call: Call, event: Event) -> None:
        place = self._place_by_call.get(call.name)
        if place is not None:
            self._process_event(place, event)

    def _remove_call(self, call: Call) -> None:
        self._calls_by_name.pop(call.name, None)
        self._place_by_call.pop(call.name, None)

    def _process_event(self, place: Place, event: Event) -> None:
        if place in self._moving:
            return
        for action in self._pools[place].on(event):
            self._apply_action(place, action)

    def _apply_action(self, place: Place, action: Action) -> None:
        call = self._calls_by_name.get(action.request_id)
        if call is None:
            return
        match action:
            case Grant(_, server_id):
                server = self._fleet.servers_by_id[server_id]
                call.server = server
                delay_s = self._link_delay_s(call.domain, place.domain)
                self._fleet.clock.call_later(
                    delay_s, self._fleet.dispatch, call, server
                )
            case Refuse(_, _, retry_after_s):
                self._remove_call(call)
                self._fleet.refuse(call, retry_after_s)
            case Spill(_, domain_id):
                target = Place(domain_id, call.pool)
                self._submit_at(call, target, may_spill=False)
            case Recall():
                self._remove_call(call)
                self._place_by_context.pop(call.context_id, None)
                self._fleet.cancel_and_resubmit(call)
            case Expire():
                self._remove_call(call)

    def _tick(self) -> None:
        now_s = self._now_s()
        for place in self._pools:
            self._update_servers(place)
            for domain in self._fleet.deployment.domains:
                home_id = InstanceId(domain.name)
                if not self._fleet.is_partitioned(place.domain, domain.name):
                    self._process_event(place, HomeRenewed(now_s, home_id))
            self._report_to_peers(place)
        for server_id in sorted(self._fleet.servers_by_id):
            self._report_server(server_id)
        for place in self._pools:
            self._process_event(place, TimePassed(now_s))
        self._fleet.clock.call_later(TICK_INTERVAL_S, self._tick)

    def _report_to_peers(self, place: Place) -> None:
        domain = place.domain
        region = RegionId(self._fleet.region(domain))
        report = self._pools[place].create_peer_report(
            DomainId(domain), region, self._now_s()
        )
        for other in self._fleet.deployment.domains:
            if other.name == domain:
                continue
            target = Place(other.name, place.pool)
            if self._fleet.is_partitioned(domain, other.name):
                lost = PeerLost(self._now_s(), DomainId(domain))
                self._process_event(target, lost)
                continue
            delay_s = self._link_delay_s(domain, other.name)
            self._fleet.clock.call_later(
                delay_s, self._process_event, target, report
            )

    def _report_server(self, server_id: ServerId) -> None:
        host = self._fleet.hosts_by_id[server_id]
        server = self._fleet.servers_by_id[server_id]
        (place,) = [p for p in self._pools if self._serves(p, server)]
        running, waiting = host.get_load()
        load = LoadReport(self._now_s(), server_id, running, waiting)
        self._fleet.clock.call_later(
            LOAD_REPORT_LAG_S, self._process_event, place, load
        )
        if not isinstance(host, FakeEngine):
            return
        evicted = tuple(
            CachedPrefix(ProgramId(name), 0)
            for name in host.evicted_ids
            if self._random.random() >= EVICTION_REPORT_LOSS
        )
        host.evicted_ids.clear()
        report = CacheReport(self._now_s(), server_id, evicted)
        self._fleet.clock.call_later(
            CACHE_REPORT_LAG_S, self._process_event, place, report
        )

    def _link_delay_s(self, first: str, second: str) -> float:
        if self._fleet.region(first) == self._fleet.region(second):
            return DOMAIN_DELAY_S
        return REGION_DELAY_S

    def _now_s(self) -> float:
        return self._fleet.clock.now_s
