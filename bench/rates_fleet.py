"""Run share holders in virtual time with faulty links and a faulty table.

A share holder is an instance that admits requests from its shares of the
contracts.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from functools import partial
import heapq
from itertools import count
from operator import itemgetter
from random import Random

from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.decisions.rate_events import Action
from jackdawfield.decisions.rate_events import AdmissionRequested
from jackdawfield.decisions.rate_events import Admit
from jackdawfield.decisions.rate_events import ContractsChanged
from jackdawfield.decisions.rate_events import Event
from jackdawfield.decisions.rate_events import instance_of
from jackdawfield.decisions.rate_events import InstanceLeaseExpired
from jackdawfield.decisions.rate_events import LeaseRenewed
from jackdawfield.decisions.rate_events import LedgerRead
from jackdawfield.decisions.rate_events import LedgerWritten
from jackdawfield.decisions.rate_events import MessageReceived
from jackdawfield.decisions.rate_events import RateSettings
from jackdawfield.decisions.rate_events import ReadLedger
from jackdawfield.decisions.rate_events import Refuse
from jackdawfield.decisions.rate_events import Send
from jackdawfield.decisions.rate_events import TimePassed
from jackdawfield.decisions.rate_events import WakeAt
from jackdawfield.decisions.rate_events import WakeDue
from jackdawfield.decisions.rate_events import WriteLedger
from jackdawfield.decisions.rates import ShareHolder
from jackdawfield.decisions.table import Committed
from jackdawfield.decisions.table import Conflict
from jackdawfield.decisions.table import NotApplied
from jackdawfield.decisions.table import OutcomeUnknown
from jackdawfield.decisions.table import Put
from jackdawfield.decisions.table import Row
from jackdawfield.decisions.table import Transaction
from jackdawfield.decisions.table import TransactionOutcome
from jackdawfield.messages.base import encode
from jackdawfield.messages.rates import RateMessage
from jackdawfield.messages.rates import RequestId
from jackdawfield.model import DomainId
from jackdawfield.model import Incarnation
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

LEASE_S = 6.0
RENEW_S = 2.0
DOMAIN_LINK_S = 0.0005
REGION_LINK_S = 0.012


@dataclass(frozen=True, slots=True)
class Site:
    """Describes a deployment's instances by failure domain."""

    name: str
    region_by_domain: Mapping[DomainId, RegionId]
    table_region: RegionId
    instances_per_domain: int = 3

    def instances_in(self, domain_id: DomainId) -> list[InstanceId]:
        """Return the instances of a domain."""
        return [
            InstanceId(f'{domain_id}-{number}')
            for number in range(self.instances_per_domain)
        ]


@dataclass(slots=True)
class Faults:
    """Sets the current faults of the links and the table."""

    loss: float = 0.0
    duplication: float = 0.0
    extra_delay_s: float = 0.0
    lost_outcomes: float = 0.0
    table_down: bool = False
    partitioned_domains: set[DomainId] = field(default_factory=set)


@dataclass(slots=True)
class Counts:
    """Counts the messages and the table accesses of a run."""

    messages: int = 0
    message_bytes: int = 0
    table_reads: int = 0
    table_writes: int = 0
    bytes_by_instance: dict[InstanceId, int] = field(default_factory=dict)

    def reset(self) -> None:
        """Reset all counts to zero."""
        self.messages = 0
        self.message_bytes = 0
        self.table_reads = 0
        self.table_writes = 0
        self.bytes_by_instance.clear()

    def count(
        self, sender: InstanceId, receiver: InstanceId, message_bytes: int
    ) -> None:
        """Count a message for its sender and its receiver."""
        self.messages += 1
        self.message_bytes += message_bytes
        for instance_id in (sender, receiver):
            previous_bytes = self.bytes_by_instance.get(instance_id, 0)
            self.bytes_by_instance[instance_id] = (
                previous_bytes + message_bytes
            )


@dataclass(frozen=True, slots=True)
class Decision:
    """Records the outcome of a request and when it was decided."""

    organisation_id: OrganisationId
    request_id: RequestId
    at_s: float
    admitted: bool


class Table:
    """Holds rows and applies transactions by compare-and-set."""

    def __init__(self) -> None:
        self.rows_by_key: dict[str, Row] = {}
        self._revision = 0

    def read(self, key: str) -> Row:
        """Return a row; an absent one is empty and of revision 0."""
        return self.rows_by_key.get(key, Row(key, b'', 0))

    def apply(self, transaction: Transaction) -> TransactionOutcome:
        """Apply a transaction if its conditions hold."""
        for condition in transaction.conditions:
            if self.read(condition.key).revision != condition.revision:
                return Conflict()
        self._revision += 1
        for change in transaction.writes:
            if isinstance(change, Put):
                self.rows_by_key[change.key] = Row(
                    change.key, change.value, self._revision
                )
        return Committed(self._revision)


@dataclass(slots=True)
class Node:
    """Represents one instance of the fleet."""

    instance_id: InstanceId
    domain_id: DomainId
    holder: ShareHolder
    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    pause_count: int = 0
    is_lease_expired: bool = False
    deferred_events: list[Event] = field(default_factory=list)


class Fleet:
    """Runs share holders by a queue of timed steps."""

    def __init__(
        self,
        site: Site,
        contracts: Mapping[OrganisationId, Contract],
        seed: int,
        settings: RateSettings | None = None,
        holder_class: type[ShareHolder] = ShareHolder,
    ) -> None:
        self.site = site
        self.contracts = dict(contracts)
        self.faults = Faults()
        self.counts = Counts()
        self.decisions: list[Decision] = []
        self.table = Table()
        self.now_s = 0.0
        self._settings = settings or RateSettings()
        self._holder_class = holder_class
        self._random = Random(seed)
        self._numbers = count()
        self._steps: list[tuple[float, int, Callable[[], None]]] = []
        self.nodes_by_id: dict[InstanceId, Node] = {}
        for domain_id in site.region_by_domain:
            for instance_id in site.instances_in(domain_id):
                self._start(instance_id, domain_id, 1)

    def _start(
        self, instance_id: InstanceId, domain_id: DomainId, incarnation: int
    ) -> None:
        holder = self._holder_class(
            instance_id, Incarnation(str(incarnation)), self._settings
        )
        node = Node(instance_id, domain_id, holder, incarnation)
        self.nodes_by_id[instance_id] = node
        self._renew(node)
        self._tick(node)

    def at(self, at_s: float, step: Callable[[], None]) -> None:
        """Schedule a step at a time."""
        heapq.heappush(self._steps, (at_s, next(self._numbers), step))

    def run_until(self, end_s: float) -> None:
        """Run every step up to a time."""
        while self._steps and self._steps[0][0] <= end_s:
            self.now_s, _, step = heapq.heappop(self._steps)
            step()
        self.now_s = end_s

    def _renew(self, node: Node) -> None:
        if not self._is_current(node):
            return
        self.at(self.now_s + RENEW_S, lambda: self._renew(node))
        if node.paused or not self._reaches_table(node):
            return
        self._process_event(node, ContractsChanged(dict(self.contracts)))
        self._process_event(node, LeaseRenewed(self.now_s + LEASE_S))

    def _tick(self, node: Node) -> None:
        if not self._is_current(node):
            return
        self.at(self.now_s + 1.0, lambda: self._tick(node))
        self.deliver(node, TimePassed())

    def _is_current(self, node: Node) -> bool:
        return node.alive and self.nodes_by_id[node.instance_id] is node

    def _reaches_table(self, node: Node) -> bool:
        if self.faults.table_down:
            return False
        return node.domain_id not in self.faults.partitioned_domains

    def deliver(self, node: Node, event: Event) -> None:
        """Deliver an event to a node, or defer it while the node is paused."""
        if not self._is_current(node):
            return
        if node.paused:
            node.deferred_events.append(event)
            return
        self._process_event(node, event)

    def _process_event(self, node: Node, event: Event) -> None:
        for action in node.holder.on(event, self.now_s):
            self._apply_action(node, action)

    def _apply_action(self, node: Node, action: Action) -> None:
        match action:
            case Admit(organisation_id, request_id):
                self._record_decision(organisation_id, request_id, True)
            case Refuse(organisation_id, request_id, _):
                self._record_decision(organisation_id, request_id, False)
            case Send(receiver, message):
                self._send(node, instance_of(receiver), message)
            case WakeAt(organisation_id, at_s):
                self.at(
                    at_s, lambda: self.deliver(node, WakeDue(organisation_id))
                )
            case ReadLedger(organisation_id):
                self._read(node, organisation_id)
            case WriteLedger(organisation_id, transaction):
                self._write(node, organisation_id, transaction)

    def _record_decision(
        self,
        organisation_id: OrganisationId,
        request_id: RequestId,
        admitted: bool,
    ) -> None:
        self.decisions.append(
            Decision(organisation_id, request_id, self.now_s, admitted)
        )

    def _send(
        self, node: Node, receiver_id: InstanceId, message: RateMessage
    ) -> None:
        message_bytes = len(encode(message)[1])
        self.counts.count(node.instance_id, receiver_id, message_bytes)
        copies = 1 + (self._random.random() < self.faults.duplication)
        for _ in range(copies):
            delay_s = self.one_way_s(node, self.nodes_by_id[receiver_id])
            delay_s += self._random.random() * self.faults.extra_delay_s
            self.at(
                self.now_s + delay_s,
                lambda: self._on_arrival(node, receiver_id, message),
            )

    def _on_arrival(
        self, node: Node, receiver_id: InstanceId, message: RateMessage
    ) -> None:
        receiver = self.nodes_by_id[receiver_id]
        if self.are_partitioned(node, receiver):
            return
        if self._random.random() < self.faults.loss:
            return
        self.deliver(receiver, MessageReceived(message))

    def are_partitioned(self, one: Node, other: Node) -> bool:
        """Return whether a partition lies between two nodes."""
        if one.domain_id == other.domain_id:
            return False
        partitioned = self.faults.partitioned_domains
        return one.domain_id in partitioned or other.domain_id in partitioned

    def one_way_s(self, one: Node, other: Node) -> float:
        """Return the one-way delay between two nodes."""
        regions = self.site.region_by_domain
        if regions[one.domain_id] == regions[other.domain_id]:
            return DOMAIN_LINK_S
        return REGION_LINK_S

    def _table_one_way_s(self, node: Node) -> float:
        region = self.site.region_by_domain[node.domain_id]
        if region == self.site.table_region:
            return DOMAIN_LINK_S
        return REGION_LINK_S

    def _read(self, node: Node, organisation_id: OrganisationId) -> None:
        self.counts.table_reads += 1
        table_delay_s = self._table_one_way_s(node)
        key = f'rates/{organisation_id}'

        def on_reached() -> None:
            row = self.table.read(key) if self._reaches_table(node) else None
            event = LedgerRead(organisation_id, row)
            self.at(
                self.now_s + table_delay_s, lambda: self.deliver(node, event)
            )

        self.at(self.now_s + table_delay_s, on_reached)

    def _write(
        self,
        node: Node,
        organisation_id: OrganisationId,
        transaction: Transaction,
    ) -> None:
        self.counts.table_writes += 1
        table_delay_s = self._table_one_way_s(node)

        def on_reached() -> None:
            outcome = self._apply(node, transaction)
            event = LedgerWritten(organisation_id, outcome)
            self.at(
                self.now_s + table_delay_s, lambda: self.deliver(node, event)
            )

        self.at(self.now_s + table_delay_s, on_reached)

    def _apply(
        self, node: Node, transaction: Transaction
    ) -> TransactionOutcome:
        if not self._reaches_table(node):
            return NotApplied('table not reached')
        if self._random.random() >= self.faults.lost_outcomes:
            return self.table.apply(transaction)
        late_s = self._random.choice((0.0, 0.5, 5.0))
        self.at(
            self.now_s + late_s, lambda: discard(self.table.apply(transaction))
        )
        return OutcomeUnknown('answer lost')

    def submit_to_node(
        self,
        instance_id: InstanceId,
        organisation_id: OrganisationId,
        request_id: RequestId,
    ) -> None:
        """Submit a request to the share holder of an instance."""
        node = self.nodes_by_id[instance_id]
        self.deliver(node, AdmissionRequested(organisation_id, request_id))

    def submit_to_domain(
        self,
        domain_id: DomainId,
        organisation_id: OrganisationId,
        request_id: RequestId,
    ) -> None:
        """Submit a request to the organisation's owner in a domain."""
        holder = choose_owner(organisation_id, self._live_in(domain_id))
        if holder is None:
            return
        self.at(
            self.now_s + DOMAIN_LINK_S,
            lambda: self.submit_to_node(holder, organisation_id, request_id),
        )

    def _live_in(self, domain_id: DomainId) -> Iterable[InstanceId]:
        return (
            node.instance_id
            for node in self.nodes_by_id.values()
            if node.domain_id == domain_id and node.alive and not node.paused
        )

    def kill(self, instance_id: InstanceId) -> None:
        """Stop a node; the others are notified once its lease has expired."""
        node = self.nodes_by_id[instance_id]
        if not node.alive:
            return
        node.alive = False
        self._announce_expiry(node)

    def _announce_expiry(self, node: Node) -> None:
        expired = InstanceLeaseExpired(
            node.instance_id, Incarnation(str(node.incarnation))
        )
        at_s = max(node.holder.lease_expires_at_s, self.now_s)
        for other in list(self.nodes_by_id):
            delay_s = self._random.random()
            self.at(at_s + delay_s, partial(self._deliver_to, other, expired))

    def _deliver_to(self, instance_id: InstanceId, event: Event) -> None:
        self.deliver(self.nodes_by_id[instance_id], event)

    def restart(self, instance_id: InstanceId) -> None:
        """Restart a killed node as a new incarnation."""
        node = self.nodes_by_id[instance_id]
        if node.alive:
            return
        self._start(instance_id, node.domain_id, node.incarnation + 1)

    def pause(self, instance_id: InstanceId) -> None:
        """Pause a node; once its lease has expired it is declared dead."""
        node = self.nodes_by_id[instance_id]
        if not node.alive or node.paused:
            return
        node.paused = True
        node.pause_count += 1
        check = partial(self._expire_if_paused, node, node.pause_count)
        self.at(max(node.holder.lease_expires_at_s, self.now_s), check)

    def _expire_if_paused(self, node: Node, pause_count: int) -> None:
        if node.paused and node.pause_count == pause_count and node.alive:
            node.is_lease_expired = True
            self._announce_expiry(node)

    def resume(self, instance_id: InstanceId) -> None:
        """Resume a node and deliver its deferred events.

        A node whose lease expired starts as a new incarnation.
        """
        node = self.nodes_by_id[instance_id]
        if not node.paused:
            return
        node.paused = False
        deferred, node.deferred_events = node.deferred_events, []
        for event in deferred:
            self.deliver(node, event)
        if node.alive and node.is_lease_expired:
            self._start(instance_id, node.domain_id, node.incarnation + 1)

    def change_contract(
        self, organisation_id: OrganisationId, contract: Contract
    ) -> float:
        """Change a contract and return when it is in force everywhere."""
        self.contracts[organisation_id] = contract
        for node in list(self.nodes_by_id.values()):
            delay_s = self._random.random()
            self.at(self.now_s + delay_s, partial(self._configure, node))
        return self.now_s + LEASE_S

    def _configure(self, node: Node) -> None:
        if self._reaches_table(node):
            self.deliver(node, ContractsChanged(dict(self.contracts)))


def discard(_: object) -> None:
    """Ignore a value."""


def compute_max_excess(
    admitted_at_s: Iterable[float], terms: Sequence[tuple[float, Contract]]
) -> float:
    """Return the largest excess of any window over burst + rate * window.

    The terms are the contracts, each with the time from which it is in force.
    """
    max_excess = 0.0
    tokens = float(terms[0][1].burst)
    previous_at_s = terms[0][0]
    contract = terms[0][1]
    changes = [
        (at_s, changed_contract) for at_s, changed_contract in terms[1:]
    ]
    events: list[tuple[float, Contract | None]] = [
        *changes,
        *((at_s, None) for at_s in admitted_at_s),
    ]
    for at_s, changed_contract in sorted(events, key=itemgetter(0)):
        tokens += (at_s - previous_at_s) * contract.rate_per_s
        contract = changed_contract or contract
        tokens = min(tokens, float(contract.burst))
        tokens -= changed_contract is None
        previous_at_s = at_s
        max_excess = max(max_excess, -tokens)
    return max_excess
