"""Hold the slots that this instance's calls use, and tell their owners."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace

from jackdawfield.gateway.servers.choice import ServerState
from jackdawfield.gateway.slots.changes import ChangeSender
from jackdawfield.gateway.slots.owner_choice import Owner
from jackdawfield.messages.fleet_slots import BegunSlot
from jackdawfield.messages.fleet_slots import CallDemand
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotEnd
from jackdawfield.messages.fleet_slots import UsedSlot
from jackdawfield.model import DomainId
from jackdawfield.model import ServerId
from jackdawfield.model import ServiceName

FindOwner = Callable[[DomainId, ServiceName], Owner | None]


@dataclass(slots=True)
class HeldSlot:
    """Holds a slot in use, and the owner that knows of it, if any."""

    demand: CallDemand
    server: ServerState
    # The deadline of its call, by the monotonic clock.
    deadline_s: float
    owner: Owner | None
    has_begun: bool = False


class HeldSlots:
    """Holds the slots in use by call and server."""

    def __init__(
        self, changes: ChangeSender, new_grant_id: Callable[[], str]
    ) -> None:
        self._changes = changes
        self._new_grant_id = new_grant_id
        self._held_by_key: dict[tuple[str, ServerId], list[HeldSlot]] = {}

    def __iter__(self) -> Iterator[HeldSlot]:
        for held in list(self._held_by_key.values()):
            yield from list(held)

    def add(self, held: HeldSlot) -> None:
        """Hold a slot until it is released."""
        key = (held.demand.request_id, held.server.entry.server_id)
        self._held_by_key.setdefault(key, []).append(held)

    def begin(self, request_id: str, server_id: ServerId) -> None:
        """Tell the owner of the first piece of a call's answer."""
        for held in self._held_by_key.get((request_id, server_id), ()):
            if held.has_begun or not held.demand.reports_start:
                continue
            held.has_begun = True
            if held.owner is not None:
                demand = held.demand
                begun = BegunSlot(demand.grant_id, demand.service)
                self._changes.tell_begun(held.owner, begun)
            return

    def release(
        self, request_id: str, server_id: ServerId, end: SlotEnd
    ) -> None:
        """Tell the owner that a call's slot is free again."""
        key = (request_id, server_id)
        slots = self._held_by_key.get(key)
        if not slots:
            return
        held = slots.pop(0)
        if not slots:
            del self._held_by_key[key]
        self._tell_ended(held, end)

    def _tell_ended(self, held: HeldSlot, end: SlotEnd) -> None:
        if held.owner is None:
            return
        demand = held.demand
        has_tokens = end is SlotEnd.SUCCEEDED
        self._changes.tell_ended(
            held.owner,
            EndedSlot(
                demand.grant_id,
                demand.service,
                held.server.entry.server_id,
                end,
                demand.prompt_tokens if has_tokens else 0,
                demand.max_tokens if has_tokens else 0,
            ),
        )

    def update_owners(self, find_owner: FindOwner, now_s: float) -> None:
        """Tell each slot to its present owner, and end it at an earlier one.

        It gets a new grant id, so that the two messages can't be confused if
        the earlier owner owns it again.
        """
        for held in self:
            entry = held.server.entry
            owner = find_owner(entry.domain_id, entry.service)
            if owner is None or owner == held.owner:
                continue
            self._tell_ended(held, SlotEnd.UNUSED)
            held.owner = owner
            held.demand = replace(
                held.demand,
                grant_id=self._new_grant_id(),
                ends_in_s=held.deadline_s - now_s,
            )
            self._changes.tell_used(
                owner, UsedSlot(held.demand, entry.server_id, held.has_begun)
            )

    def renew(self) -> None:
        """Tell the owners of slots in use that this instance goes on."""
        ids_by_owner: dict[Owner, list[str]] = {}
        for held in self:
            if held.owner is not None:
                ids = ids_by_owner.setdefault(held.owner, [])
                ids.append(held.demand.grant_id)
        for owner, ids in ids_by_owner.items():
            self._changes.renew(owner, tuple(ids))
