"""Tell the owners of slots what became of them, a few at a time."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import time

from result import Err

from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.gateway.slots.owner import SlotOwner
from jackdawfield.gateway.slots.owner_choice import Owner
from jackdawfield.gateway.slots.owner_choice import OwnerChoice
from jackdawfield.messages.fleet_slots import BegunSlot
from jackdawfield.messages.fleet_slots import EndedSlot
from jackdawfield.messages.fleet_slots import SlotChanges
from jackdawfield.messages.fleet_slots import UsedSlot
from jackdawfield.model import InstanceId

# Time for which changes are gathered before they are sent together.
GATHER_S = 0.005
# Changes of each kind that are kept for one owner at most, to send again.
MAX_KEPT = 1_000


@dataclass(slots=True)
class _Outbox:
    """Holds the changes of which an owner is still to be told."""

    used: list[UsedSlot] = field(default_factory=list)
    begun: list[BegunSlot] = field(default_factory=list)
    ended: list[EndedSlot] = field(default_factory=list)
    grant_ids: tuple[str, ...] | None = None
    is_scheduled: bool = False

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""
        return not (self.used or self.begun or self.ended)


class ChangeSender:
    """Gathers and sends the changes of this instance's slots, by owner."""

    def __init__(
        self,
        home_id: InstanceId,
        owner: SlotOwner,
        owners: OwnerChoice,
        links: PeerLinks,
    ) -> None:
        self._home_id = home_id
        self._owner = owner
        self._owners = owners
        self._links = links
        self._outboxes_by_owner: dict[Owner, _Outbox] = {}
        self.sent_count = 0

    def tell_used(self, owner: Owner, used: UsedSlot) -> None:
        """Tell an owner of a slot in use that it has not granted."""
        self._outbox(owner).used.append(used)

    def tell_begun(self, owner: Owner, begun: BegunSlot) -> None:
        """Tell an owner of the first piece of a call's answer."""
        self._outbox(owner).begun.append(begun)

    def tell_ended(self, owner: Owner, ended: EndedSlot) -> None:
        """Tell an owner that a slot is free again, or a request withdrawn."""
        self._outbox(owner).ended.append(ended)

    def renew(
        self, owner: Owner, grant_ids: tuple[str, ...] | None = None
    ) -> None:
        """Tell an owner that this instance goes on, and what it uses."""
        outbox = self._outbox(owner)
        if grant_ids is not None:
            outbox.grant_ids = grant_ids

    def retry(self) -> None:
        """Send what was kept for another try; forget owners that are gone."""
        for owner, outbox in list(self._outboxes_by_owner.items()):
            if outbox.is_scheduled:
                continue
            if outbox.is_empty or not self._owners.is_known(owner):
                del self._outboxes_by_owner[owner]
            elif not self._is_avoided(owner):
                self._schedule(owner, outbox)

    def _is_avoided(self, owner: Owner) -> bool:
        return self._owners.is_avoided(owner.incarnation, time.monotonic())

    def _outbox(self, owner: Owner) -> _Outbox:
        """Return the outbox of an owner, which is about to be sent."""
        outbox = self._outboxes_by_owner.get(owner)
        if outbox is None:
            outbox = _Outbox()
            self._outboxes_by_owner[owner] = outbox
        if not outbox.is_scheduled:
            self._schedule(owner, outbox)
        return outbox

    def _schedule(self, owner: Owner, outbox: _Outbox) -> None:
        outbox.is_scheduled = True
        loop = asyncio.get_running_loop()
        # Its own owner is told once the change has been added.
        if owner.is_own:
            loop.call_soon(self._send, owner, outbox)
        else:
            loop.call_later(GATHER_S, self._send, owner, outbox)

    def _send(self, owner: Owner, outbox: _Outbox) -> None:
        outbox.is_scheduled = False
        changes = SlotChanges(
            self._home_id,
            tuple(outbox.used),
            tuple(outbox.begun),
            tuple(outbox.ended),
            outbox.grant_ids,
        )
        outbox.grant_ids = None
        outbox.used, outbox.begun, outbox.ended = [], [], []
        if owner.is_own:
            self._owner.apply_changes(changes)
            return
        self.sent_count += 1
        sent = self._links.notify(owner.address, changes)
        if isinstance(sent, Err):
            _keep(outbox, changes)
            reason = sent.err_value.reason
            self._owners.avoid(owner, reason, time.monotonic())


def _keep(outbox: _Outbox, changes: SlotChanges) -> None:
    """Keep changes that were not sent for another try."""
    outbox.used[:0] = changes.used
    outbox.begun[:0] = changes.begun
    outbox.ended[:0] = changes.ended
    del outbox.used[:-MAX_KEPT]
    del outbox.begun[:-MAX_KEPT]
    del outbox.ended[:-MAX_KEPT]
