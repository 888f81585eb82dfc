"""Test who owns a rate after a restart while the store is away.

Load pattern: an owner stops as planned, hands over, and is started again
before its row could be written; or it is killed and started again.
"""

import asyncio
import unittest
from unittest import mock

from result import Ok

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.gateway.clock import boot_time_s
from jackdawfield.gateway.fleet.failure_detector import FailureDetector
from jackdawfield.gateway.fleet.failure_detector import PolledView
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.ownership import Ownership
from jackdawfield.gateway.fleet.ownership_records import MemberView
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.gateway.rates.owner import RateOwner
from jackdawfield.messages.base import decode
from jackdawfield.messages.base import encode
from jackdawfield.messages.fleet_rates import Pong
from jackdawfield.messages.fleet_rates import RolesDigest
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

SEATS = [SeatId(f'd/{number}') for number in range(3)]
ORG = OrganisationId('org')
VERSION = 3
BOUNDS = PromisedLimits(8.0, 2.5, 5.0, 0.1, 20.0)


def member(seat: SeatId) -> MemberRow:
    """Return an established row; its incarnation is the seat's first."""
    return MemberRow(
        InstanceId(seat),
        f'{seat}:1',
        DomainId('d'),
        RegionId('r'),
        f'{seat}.1',
        True,
    )


ROWS = {seat: member(seat) for seat in SEATS}
OWNER = choose_owner(ORG, SEATS) or SEATS[0]
SUCCESSOR = choose_owner(ORG, [seat for seat in SEATS if seat != OWNER])


def make_owner(seat: SeatId) -> RateOwner:
    """Return the rates' part of an instance that knows all rows."""
    members = mock.Mock(
        rows_by_seat=ROWS,
        own_seat=seat,
        version=VERSION,
        seat_count=len(SEATS),
    )
    holder = mock.Mock(inherited=False, is_first_start=False)
    links = mock.Mock(request=mock.AsyncMock(return_value=Ok(None)))
    detector = mock.Mock(spec=FailureDetector)
    owner = RateOwner(BOUNDS, members, holder, detector, links)
    owner.ownership.set_organisations([ORG], boot_time_s())
    owner.ownership.confirm_view(boot_time_s())
    owner._on_members_changed()
    return owner


def polled(ownership: Ownership, seat: SeatId) -> PolledView:
    """Return what a poll of a member's holder finds."""
    return PolledView(
        boot_time_s(),
        ROWS[seat].incarnation,
        MemberView(VERSION, ownership.roles),
        True,
        ownership.released_incarnations(),
    )


class RestartsInOutagesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.others = {
            seat: make_owner(seat) for seat in SEATS if seat != OWNER
        }
        # The row of its earlier incarnation stands in for its own.
        self.restarted = make_owner(OWNER)

    def owns(self, owner: RateOwner) -> bool:
        return owner.ownership.may_grant(ORG, boot_time_s())

    def poll(self, owner: RateOwner, *seats: SeatId) -> None:
        owner._record_round(
            {seat: polled(self.others[seat].ownership, seat) for seat in seats}
        )

    def hand_over(self) -> None:
        """Let the earlier incarnation hand its rate over to its successor."""
        assert SUCCESSOR is not None
        successor = self.others[SUCCESSOR]
        left = ROWS[OWNER].incarnation
        successor.mark_leaving(left)
        successor.ownership.take_over(ORG, VERSION, boot_time_s(), left)

    # Guards against two owners of a rate: the one that a planned stop handed
    # it over to, and the next incarnation of the one that stopped.
    async def test_next_incarnation_does_not_own_what_was_handed_over(
        self,
    ) -> None:
        self.hand_over()
        assert SUCCESSOR is not None
        self.assertTrue(self.owns(self.others[SUCCESSOR]))
        self.assertFalse(self.owns(self.restarted))
        self.poll(self.restarted, *self.others)
        self.assertFalse(self.owns(self.restarted))
        self.assertEqual(self.restarted.ownership.owner_of(ORG), SUCCESSOR)

    async def test_any_member_that_knows_of_it_tells(self) -> None:
        self.hand_over()
        assert SUCCESSOR is not None
        (other,) = [seat for seat in self.others if seat != SUCCESSOR]
        self.poll(self.others[other], SUCCESSOR)
        # The successor itself is not reached.
        self.poll(self.restarted, other)
        self.assertEqual(self.restarted.ownership.owner_of(ORG), SUCCESSOR)

    async def test_next_incarnation_of_a_killed_owner_owns_its_rate(
        self,
    ) -> None:
        self.assertFalse(self.owns(self.restarted))
        self.poll(self.restarted, *self.others)
        self.assertTrue(self.owns(self.restarted))
        await asyncio.sleep(0)

    def test_builds_without_the_field_are_understood(self) -> None:
        pong = Pong('i', 1, RolesDigest(b'r'), ('i.1',))
        self.assertEqual(decode(*encode(pong)).unwrap(), pong)
        name, body = encode(Pong('i', 1, RolesDigest(b'r')))
        without = body.replace(b'\xa8released\x90', b'')
        without = bytes([without[0] - 1]) + without[1:]
        self.assertEqual(
            decode(name, without).unwrap(), Pong('i', 1, RolesDigest(b'r'))
        )
