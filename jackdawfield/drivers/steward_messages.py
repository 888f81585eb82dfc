"""Send messages to the stewards of pools."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time
from typing import Any

from result import Err
from result import Ok
from result import Result

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.drivers.contracts import FleetStateDriver
from jackdawfield.drivers.peers import PeerError
from jackdawfield.drivers.peers import PeerFault
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.stewards import steward_key
from jackdawfield.drivers.stewards import StewardsDriver
from jackdawfield.logs import log_event
from jackdawfield.messages.pools import HomeRenewal
from jackdawfield.messages.pools import SlotReleased
from jackdawfield.messages.pools import SlotRequest
from jackdawfield.messages.pools import SlotsAdopted
from jackdawfield.messages.pools import SlotStarted
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId

LOG = logging.getLogger(__name__)
STEWARD_TIMEOUT_S = 2.0
# A steward that does not answer is not chosen for this long.
EJECTION_S = 5.0


class StewardMessenger:
    """Finds the stewards of pools and sends messages to them."""

    def __init__(
        self,
        own_id: InstanceId,
        domain_id: DomainId,
        contracts: FleetStateDriver,
        links: PeerLinks,
        stewards: StewardsDriver,
        on_ejected: Callable[[InstanceId], None],
    ) -> None:
        self._own_id = own_id
        self._domain_id = domain_id
        self._contracts = contracts
        self._links = links
        self._stewards = stewards
        self._on_ejected = on_ejected
        self._ejected_until_s_by_id: dict[InstanceId, float] = {}
        self._message_tasks: set[asyncio.Task[Any]] = set()

    def find_steward(
        self, domain_id: DomainId, pool: str
    ) -> InstanceId | None:
        """Return the steward of a pool, None if its domain has none."""
        now_s = time.monotonic()
        key = steward_key(domain_id, pool)
        candidates = [
            member.instance_id
            for member in self._contracts.members_by_id.values()
            if member.domain_id == domain_id
            and not member.leaving
            and self._ejected_until_s_by_id.get(member.instance_id, 0.0)
            <= now_s
        ]
        steward_id = choose_owner(key, candidates)
        if steward_id is None and domain_id == self._domain_id:
            return self._own_id
        return steward_id

    def send_in_background(
        self, steward_id: InstanceId | None, message: object
    ) -> None:
        """Send a message without waiting for its answer."""
        sending = self.send(steward_id, message, STEWARD_TIMEOUT_S)
        task = asyncio.create_task(sending)
        self._message_tasks.add(task)
        task.add_done_callback(self._message_tasks.discard)

    async def send(
        self, steward_id: InstanceId | None, message: Any, timeout_s: float
    ) -> Result[Any, PeerError]:
        """Send a message and return the answer; eject a silent steward."""
        if steward_id == self._own_id:
            return Ok(await self._handle_locally(message))
        member = self._contracts.members_by_id.get(steward_id or self._own_id)
        if member is None:
            return Err(PeerError(PeerFault.NOT_SENT, 'steward is gone'))
        result = await self._links.request(
            member.peer_address, message, timeout_s
        )
        if isinstance(result, Err):
            self._eject_steward(member.instance_id, result.err_value)
        return result

    def _eject_steward(
        self, instance_id: InstanceId, error: PeerError
    ) -> None:
        self._ejected_until_s_by_id[instance_id] = (
            time.monotonic() + EJECTION_S
        )
        log_event(
            LOG, 'steward_shunned', steward=instance_id, reason=error.reason
        )
        self._on_ejected(instance_id)

    def _handle_locally(self, message: Any) -> Awaitable[object]:
        match message:
            case SlotRequest():
                return self._stewards.handle_request(message)
            case SlotStarted():
                return self._stewards.handle_start(message)
            case SlotReleased():
                return self._stewards.handle_release(message)
            case HomeRenewal():
                return self._stewards.handle_renewal(message)
            case SlotsAdopted():
                return self._stewards.handle_adoption(message)
            case _:
                return self._stewards.handle_context_end(message)
