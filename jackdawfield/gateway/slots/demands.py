"""Describe calls to the owner of slots, and demands to its pool."""

from dataclasses import dataclass
import time

from jackdawfield.decisions.pool_events import RequestId
from jackdawfield.decisions.pool_events import SlotDemand
from jackdawfield.gateway.calls import Call
from jackdawfield.gateway.model import CallKind
from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.gateway.servers.call_queue import priority_of
from jackdawfield.messages.fleet_slots import AskSlot
from jackdawfield.messages.fleet_slots import CallDemand
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import ProgramId
from jackdawfield.model import ServiceName

# Organisation of the calls that need no key.
NO_ORGANISATION = OrganisationId('')
# Assumed size of a request's head, and of one token of its prompt.
HEAD_BYTES = 500
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class Home:
    """Identifies an instance that asks for slots, and one start of it."""

    home_id: InstanceId
    address: str
    domain_id: DomainId


def describe_call(
    call: Call,
    service: ServiceName,
    configuration: FleetConfiguration | None,
    weight: float,
    home: Home,
    grant_id: str,
) -> CallDemand:
    """Return what the owner of slots has to know of a call."""
    headers, route = call.headers, call.route
    now_s = time.monotonic()
    finish_in_s: float | None = None
    if headers.finish_left_s is not None:
        finish_in_s = call.arrived_at_s + headers.finish_left_s - now_s
    return CallDemand(
        grant_id=grant_id,
        home_id=home.home_id,
        home_address=home.address,
        service=service,
        request_id=call.request_id,
        organisation_id=call.organisation_id or NO_ORGANISATION,
        weight=weight,
        session=ProgramId(headers.session_id or call.request_id),
        priority=priority_of(call, configuration),
        finish_in_s=finish_in_s,
        ends_in_s=call.deadline_s - now_s,
        begins_program=call.begins_program,
        prompt_tokens=headers.prompt_tokens,
        max_tokens=headers.max_tokens,
        is_repeatable=route.is_repeatable,
        reports_start=route.kind is CallKind.STREAM,
    )


def estimate_bytes(call: Call) -> int:
    """Return the bytes that are sent to the server of a call.

    A prompt may have turns that the caller hasn't sent again.
    """
    prompt_bytes = call.headers.prompt_tokens * BYTES_PER_TOKEN
    return HEAD_BYTES + max(len(call.body), prompt_bytes)


def to_slot_demand(
    demand: CallDemand, now_s: float, ask: AskSlot | None = None
) -> SlotDemand:
    """Return a call's demand to a pool; without `ask` it has its slot."""
    finish_s: float | None = None
    if demand.finish_in_s is not None:
        finish_s = now_s + demand.finish_in_s
    tokens = demand.prompt_tokens + demand.max_tokens
    return SlotDemand(
        request_id=RequestId(demand.grant_id),
        home_id=demand.home_id,
        organisation_id=demand.organisation_id,
        context_id=demand.session,
        prompt_tokens=demand.prompt_tokens,
        output_tokens=demand.max_tokens,
        deadline_s=now_s + (ask.max_wait_s if ask else demand.ends_in_s),
        weight=demand.weight,
        waited_s=ask.waited_s if ask else 0.0,
        repeatable=demand.is_repeatable,
        may_spill=ask is not None and ask.may_spill,
        avoided_server_ids=frozenset(ask.excluded_ids if ask else ()),
        priority=demand.priority,
        finish_s=finish_s,
        begins_program=demand.begins_program,
        preferred_server_id=ask.preferred_id if ask else None,
        connected_server_ids=frozenset(ask.connected_ids if ask else ()),
        held_tokens=tokens,
        needs_open_slot=ask is not None and ask.needs_open_slot,
        body_bytes=ask.body_bytes if ask else 0,
        returned_by=ask.returned_by if ask else None,
        prefix_domain_id=ask.prefix_domain_id if ask else None,
    )
