"""The pattern: a rate moves while its owners restart or are cut off."""

import asyncio
import unittest
from unittest import mock

from jackdawfield.decisions.buckets import Contract
from jackdawfield.gateway.member_rows import leaving
from jackdawfield.gateway.member_rows import MemberRow
from jackdawfield.gateway.ownership import FRESH_S
from jackdawfield.gateway.ownership import TAKEOVER_WAIT_S
from jackdawfield.gateway.rate_owner import RateOwner
from jackdawfield.messages.fleet_rates import AskTokens
from jackdawfield.messages.fleet_rates import HandOver
from jackdawfield.model import DomainId
from jackdawfield.model import InstanceId
from jackdawfield.model import OrganisationId
from jackdawfield.model import RegionId

OWN = InstanceId('i0')
OTHER = InstanceId('i1')
ORG = OrganisationId('org')
CONTRACT = Contract(10.0, 40)
CLOCK = 'jackdawfield.gateway.rate_owner.boot_time_s'


def row(name: str) -> MemberRow:
    return MemberRow(f'{name}:1', DomainId('d'), RegionId('r'), name)


class Members:
    """Holds a table that the test writes."""

    def __init__(self) -> None:
        self.by_id = {OWN: row(OWN), OTHER: leaving(row(OTHER))}
        self.version = 1
        self.inherited = True
        self.first_start = False
        self.leaving = False

    def listen(self, listener: object) -> None:
        self.listener = listener


class Links:
    """Keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[HandOver] = []

    async def request(self, _: str, message: HandOver, __: float) -> None:
        self.sent.append(message)


class RateOwnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now_s = 100.0
        patched = mock.patch(CLOCK, lambda: self.now_s)
        patched.start()
        self.addCleanup(patched.stop)
        self.members = Members()
        self.links = Links()
        self.owner = RateOwner(
            OWN,
            self.members,  # type: ignore[arg-type]
            self.links,  # type: ignore[arg-type]
        )
        self.owner.contracts_by_id = {ORG: CONTRACT}
        ownership = self.owner.ownership
        ownership.set_organisations([ORG], self.now_s)
        ownership.saw(self.now_s)
        self.owner._on_members()
        ownership.take_over(ORG, self.now_s)

    def grant(self, tokens: int) -> int:
        granted = self.owner.grant(AskTokens(ORG, tokens, 0, 0))
        return sum(d == 0 for d in granted.continuing_delays_s)

    async def test_right_that_was_lost_and_won_begins_without_tokens(
        self,
    ) -> None:
        self.now_s += 10
        self.owner.ownership.saw(self.now_s)
        self.assertEqual(self.grant(1), 1)
        # Cut off for so long that nothing is handed over.
        self.now_s += FRESH_S + 60
        self.members.by_id = {OWN: leaving(row(OWN)), OTHER: row(OTHER)}
        self.members.version = 2
        self.owner._on_members()
        self.now_s += 1
        self.members.by_id = {OWN: row(OWN), OTHER: leaving(row(OTHER))}
        self.members.version = 3
        self.owner.ownership.saw(self.now_s)
        self.owner._on_members()
        self.now_s += TAKEOVER_WAIT_S + 1
        ownership = self.owner.ownership
        ownership.saw(self.now_s)
        ownership.attested(OTHER, self.now_s, 3, self.now_s)
        ownership._active_from_by_id[ORG] = self.now_s - 1
        self.assertLessEqual(self.grant(40), CONTRACT.rate_per_s)

    async def test_planned_stop_hands_every_right_over_at_once(self) -> None:
        self.members.by_id = {OWN: row(OWN), OTHER: row(OTHER)}
        self.owner.ownership._members_by_id = dict(self.members.by_id)
        self.now_s += 1
        self.owner.ownership.saw(self.now_s)
        self.assertEqual(self.grant(1), 1)
        self.owner.leave()
        await asyncio.sleep(0)
        self.assertEqual([m.organisation_id for m in self.links.sent], [ORG])
        self.assertGreater(self.links.sent[0].tokens, 0)
        self.assertEqual(self.grant(1), 0)

    async def test_right_that_went_stale_is_not_handed_over(self) -> None:
        self.owner.ownership._members_by_id = {
            OWN: row(OWN),
            OTHER: row(OTHER),
        }
        self.now_s += FRESH_S + 1
        self.owner.leave()
        await asyncio.sleep(0)
        self.assertEqual(self.links.sent, [])


if __name__ == '__main__':
    unittest.main()
