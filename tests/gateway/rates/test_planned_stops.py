"""Admit requests while instances stop and start in series.

The load pattern: planned stops a second apart, so that the owner of a rate
has stopped before the members' table is read again.
"""

import asyncio
from types import SimpleNamespace
import unittest

from result import Ok
from result import Result

from jackdawfield.decisions.buckets import Contract
from jackdawfield.decisions.placement import choose_owner
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.rates.admission import Admission
from jackdawfield.messages.fleet_rates import AskFallback
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import FallbackGranted
from jackdawfield.messages.fleet_rates import TokensGranted
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

SEATS = [SeatId(f'd/{n}') for n in range(4)]
ORG = OrganisationId('org')


def member(seat: SeatId) -> MemberRow:
    return MemberRow(
        InstanceId(seat), f'{seat}:1', DomainId('d'), RegionId('r'), seat
    )


class Links:
    """Stands in for the links; stopping instances name themselves."""

    def __init__(self, stopping: set[SeatId]) -> None:
        self.stopping = stopping
        self.asked: list[str] = []

    async def request(
        self, address: str, message: object, _: float
    ) -> Result[object, Exception]:
        if isinstance(message, AskFallback):
            return Ok(FallbackGranted(0))
        assert isinstance(message, AskTokens)
        self.asked.append(address)
        seat = SeatId(address.removesuffix(':1'))
        if seat in self.stopping:
            return Ok(TokensGranted(False, leaving=seat))
        return Ok(TokensGranted(True, (0.0,) * message.continuing))


class PlannedStopsTest(unittest.IsolatedAsyncioTestCase):
    def admission(self, links: Links) -> tuple[Admission, Ownership]:
        """Return the admission of an instance without a seat."""
        rows = {seat: member(seat) for seat in SEATS}
        ownership = Ownership(len(SEATS))
        ownership.set_organisations([ORG], boot_time_s())
        ownership.set_members(rows, None, 1, boot_time_s())
        members = SimpleNamespace(
            rows_by_seat=rows, own_seat=None, nearest_seat=lambda: SEATS[0]
        )
        rate_owner = SimpleNamespace(
            ownership=ownership,
            contracts_by_organisation={ORG: Contract(100.0, 100)},
            mark_leaving=lambda incarnation: ownership.mark_leaving(
                incarnation, boot_time_s()
            ),
        )
        detector = SimpleNamespace(
            record_answer=lambda seat: None,
            record_no_answer=lambda seat, now_s: None,
        )
        found = Admission(
            members,  # type: ignore[arg-type]
            detector,  # type: ignore[arg-type]
            links,  # type: ignore[arg-type]
            rate_owner,  # type: ignore[arg-type]
        )
        return found, ownership

    async def admit(self, admission: Admission) -> object:
        call = SimpleNamespace(
            organisation_id=ORG,
            route=SimpleNamespace(is_open=False, keeps_turns=False),
            headers=SimpleNamespace(program_id='p'),
            begins_program=False,
        )
        async with asyncio.timeout(3.0):
            return await admission.admit(call)  # type: ignore[arg-type]

    async def test_successor_of_a_stopping_owner_is_asked_at_once(
        self,
    ) -> None:
        owner = choose_owner(ORG, SEATS)
        assert owner is not None
        links = Links({owner})
        admission, ownership = self.admission(links)
        self.assertIsNone(await self.admit(admission))
        self.assertEqual(links.asked, [f'{owner}:1', f'{self.next(owner)}:1'])
        self.assertEqual(ownership.owner_of(ORG), self.next(owner))

    async def test_successors_that_stop_as_well_are_passed_over(self) -> None:
        owner = choose_owner(ORG, SEATS)
        assert owner is not None
        links = Links({owner, self.next(owner)})
        admission, _ = self.admission(links)
        self.assertIsNone(await self.admit(admission))
        self.assertEqual(len(links.asked), 3)

    async def test_request_is_refused_once_all_owners_stop(self) -> None:
        admission, _ = self.admission(Links(set(SEATS)))
        refusal = await self.admit(admission)
        self.assertEqual(getattr(refusal, 'status', None), 503)

    def next(self, owner: SeatId) -> SeatId:
        """Return the owner after one has stopped."""
        others = [seat for seat in SEATS if seat != owner]
        found = choose_owner(ORG, others)
        assert found is not None
        return found
