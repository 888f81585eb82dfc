"""Build servers, demands and members for tests of slots."""

from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import ServerEntry
from jackdawfield.gateway.servers.choice import Servers
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import CallDemand
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import RegionId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

SERVICE = ServiceName('service')
DOMAIN = DomainId('a')
OTHER_DOMAIN = DomainId('b')
REGION = RegionId('r')
# Longer than the pool expects a call to last.
MAX_WAIT_S = 10.0
HOME = InstanceId('home.1')


def make_entry(
    name: str, slots: int = 1, domain_id: DomainId = DOMAIN
) -> ServerEntry:
    """Return the entry of a server that nothing is sent to."""
    return ServerEntry(
        ServerId(name), SERVICE, '127.0.0.1', 1, domain_id, slots, False, 1
    )


def make_servers(*entries: ServerEntry) -> Servers:
    """Return the servers as an instance of DOMAIN knows them."""
    servers = Servers(DOMAIN, {DOMAIN: REGION, OTHER_DOMAIN: REGION})
    for entry in entries:
        servers.put(entry)
    return servers


def make_demand(
    grant_id: str, ends_in_s: float = 2.0, home_id: InstanceId = HOME
) -> CallDemand:
    """Return the demand of a turn."""
    return CallDemand(
        grant_id=grant_id,
        home_id=home_id,
        home_address='home:1',
        service=SERVICE,
        request_id=f'request of {grant_id}',
        organisation_id=OrganisationId('org'),
        weight=1.0,
        session=ProgramId(grant_id),
        priority=0,
        finish_in_s=1.0,
        ends_in_s=ends_in_s,
        begins_program=False,
        prompt_tokens=10,
        max_tokens=10,
        is_repeatable=False,
        reports_start=True,
    )


def make_ask(
    grant_id: str,
    *excluded: str,
    ends_in_s: float = 2.0,
    home_id: InstanceId = HOME,
) -> AskSlot:
    """Return the request for a slot for a turn."""
    return AskSlot(
        make_demand(grant_id, ends_in_s, home_id),
        max_wait_s=MAX_WAIT_S,
        waited_s=0.0,
        may_spill=True,
        preferred_id=None,
        connected_ids=(),
        excluded_ids=tuple(ServerId(name) for name in excluded),
    )


def make_ended(
    grant_id: str, server: str = 's1', end: SlotEnd = SlotEnd.SUCCEEDED
) -> EndedSlot:
    """Return the end of a turn."""
    return EndedSlot(grant_id, SERVICE, ServerId(server), end, 10, 10)


def make_row(name: str, domain_id: DomainId = DOMAIN) -> MemberRow:
    """Return the row of an instance that serves."""
    return MemberRow(
        InstanceId(name), f'{name}:1', domain_id, REGION, f'{name}-start'
    )


def make_rows(*names: str) -> dict[SeatId, MemberRow]:
    """Return rows of instances of DOMAIN by seat."""
    return {
        SeatId(f'{DOMAIN}/{number}'): make_row(name)
        for number, name in enumerate(names)
    }
