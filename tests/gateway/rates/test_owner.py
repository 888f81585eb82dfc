"""Test that a rate is never granted twice while its ownership moves.

Ownerships move when owners restart, stop or are cut off from the store.
"""

import asyncio
import unittest
from unittest import mock

from jackdawfield.decisions.buckets import Contract
from jackdawfield.gateway.fleet.member_rows import mark_left
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.ownership import TAKEOVER_WAIT_S
from jackdawfield.gateway.fleet.ownership import VIEW_VALID_S
from jackdawfield.gateway.fleet.seats import SeatId
from jackdawfield.gateway.model import PromisedLimits
from jackdawfield.gateway.rates.owner import RateOwner
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import HandOver
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

OWN = SeatId('d/0')
OTHER = SeatId('d/1')
ORG = OrganisationId('org')
CONTRACT = Contract(10.0, 40)
CLOCK = 'jackdawfield.gateway.rates.owner.boot_time_s'


def row(name: str) -> MemberRow:
    return MemberRow(
        InstanceId(name), f'{name}:1', DomainId('d'), RegionId('r'), name
    )


class Members:
    """Stands in for the members, with a table that the test writes."""

    def __init__(self) -> None:
        self.rows_by_seat = {OWN: row(OWN), OTHER: mark_left(row(OTHER))}
        self.version = 1
        self.own_id = InstanceId(OWN)
        self.own_seat = OWN
        self.seat_count = 2

    def add_listener(self, listener: object) -> None:
        self.listener = listener


class Holder:
    """Stands in for the holder of the seat."""

    inherited = True
    is_first_start = False
    is_leaving = False


class Links:
    """Stands in for the links to other instances and records messages."""

    def __init__(self) -> None:
        self.sent: list[HandOver] = []

    async def request(self, _: str, message: HandOver, __: float) -> None:
        self.sent.append(message)


class RateOwnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        clock = mock.patch(CLOCK, lambda: self.now_s)
        clock.start()
        self.addCleanup(clock.stop)
        self.members = Members()
        self.links = Links()
        self.owner = RateOwner(
            PromisedLimits(8.0, 2.5, 5.0, 0.1, 20.0),
            self.members,  # type: ignore[arg-type]
            Holder(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        self.owner.contracts_by_organisation = {ORG: CONTRACT}
        ownership = self.owner.ownership
        ownership.set_organisations([ORG], self.now_s)
        ownership.confirm_view(self.now_s)
        self.owner._on_members_changed()
        ownership.take_over(ORG, 1, self.now_s)

    def grant(self, tokens: int) -> int:
        granted = self.owner.grant(AskTokens(ORG, tokens, 0, 0))
        return sum(d == 0 for d in granted.continuing_delays_s)

    async def test_regained_ownership_starts_with_an_empty_bucket(
        self,
    ) -> None:
        # An owner that is cut off keeps its bucket, as it hands nothing over.
        # Meanwhile another owner may grant the same tokens.
        self.now_s += 10
        self.owner.ownership.confirm_view(self.now_s)
        self.assertEqual(self.grant(1), 1)
        # The view has expired, so that the ownership is not handed over.
        self.now_s += VIEW_VALID_S + 60
        self.members.rows_by_seat = {
            OWN: mark_left(row(OWN)),
            OTHER: row(OTHER),
        }
        self.members.version = 2
        self.owner._on_members_changed()
        self.now_s += 1
        self.members.rows_by_seat = {
            OWN: row(OWN),
            OTHER: mark_left(row(OTHER)),
        }
        self.members.version = 3
        self.owner.ownership.confirm_view(self.now_s)
        self.owner._on_members_changed()
        self.now_s += TAKEOVER_WAIT_S + 1
        ownership = self.owner.ownership
        ownership.confirm_view(self.now_s)
        ownership.record_view_report(OTHER, OTHER, self.now_s, 3, self.now_s)
        ownership._active_from_s_by_organisation[ORG] = self.now_s - 1
        self.assertLessEqual(self.grant(40), CONTRACT.rate_per_s)

    async def test_planned_stop_hands_over_every_ownership(self) -> None:
        self.members.rows_by_seat = {OWN: row(OWN), OTHER: row(OTHER)}
        self.owner.ownership._members_by_id = dict(self.members.rows_by_seat)
        self.now_s += 1
        self.owner.ownership.confirm_view(self.now_s)
        self.assertEqual(self.grant(1), 1)
        self.owner.hand_over_all()
        await asyncio.sleep(0)
        self.assertEqual([m.organisation_id for m in self.links.sent], [ORG])
        self.assertGreater(self.links.sent[0].tokens, 0)
        self.assertEqual(self.grant(1), 0)

    async def test_expired_ownership_is_not_handed_over(self) -> None:
        self.owner.ownership._members_by_id = {
            OWN: row(OWN),
            OTHER: row(OTHER),
        }
        self.now_s += VIEW_VALID_S + 1
        self.owner.hand_over_all()
        await asyncio.sleep(0)
        self.assertEqual(self.links.sent, [])


if __name__ == '__main__':
    unittest.main()
