"""Tell all instances which requests end backend servers.

An instance tells a member of its failure domain, which tells the other
members and the instances that follow tables through it. Nothing is sent while
nothing is suspected.
"""

import asyncio
import logging
import time

from result import Ok

from jackdawfield.background import BackgroundTasks
from jackdawfield.drivers.peers import PeerLinks
from jackdawfield.drivers.peers import PeerServer
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.gateway.fleet.table_sharing import TableSharing
from jackdawfield.gateway.servers.endings import EndedServers
from jackdawfield.gateway.servers.quarantine import Quarantine
from jackdawfield.logs import log_event
from jackdawfield.messages.fleet_quarantine import AskEvidence
from jackdawfield.messages.fleet_quarantine import EvidenceNoted
from jackdawfield.messages.fleet_quarantine import EvidenceTold
from jackdawfield.messages.fleet_quarantine import RequestDigest

LOG = logging.getLogger(__name__)
TELL_TIMEOUT_S = 0.3
# Time in which several changes are told together.
GATHER_S = 0.02
CHECK_INTERVAL_S = 0.25
# An instance that starts asks until so many others have answered, at most for
# a time.
ANSWERS_AT_START = 2
ASK_AT_START_S = 10.0


class QuarantineSharing:
    """Spreads the evidence until each peer has confirmed it."""

    def __init__(
        self,
        quarantine: Quarantine,
        members: Members,
        sharing: TableSharing,
        links: PeerLinks,
    ) -> None:
        self._quarantine = quarantine
        self._members = members
        self._sharing = sharing
        self._links = links
        self._tasks = BackgroundTasks()
        self._changed = asyncio.Event()
        # The version that each peer has confirmed, and peers being told.
        self._told_version_by_address: dict[str, int] = {}
        self._telling: set[str] = set()
        # Terms of the quarantines that were logged and still hold.
        self._logged_term_by_digest: dict[RequestDigest, int] = {}

    def register(self, server: PeerServer, ended: EndedServers) -> None:
        """Handle the messages of the other instances."""
        self._ended = ended
        server.handle(EvidenceTold, self._handle_told)
        server.handle(AskEvidence, self._handle_ask)

    def notify(self) -> None:
        """Tell the other instances soon what has changed."""
        self._changed.set()

    async def run(self) -> None:
        """Tell changes until cancelled."""
        self._tasks.spawn(self._ask_at_start())
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._changed.wait()
                await asyncio.sleep(GATHER_S)
            except TimeoutError:
                pass
            self._changed.clear()
            self._check()

    def _check(self) -> None:
        self._ended.confirm_restarted()
        quarantine = self._quarantine
        if quarantine.is_empty:
            return
        now_s = time.monotonic()
        quarantine.expire(now_s)
        quarantine.judge(now_s)
        self._log_convictions(now_s)
        for address, unrelayed_only in self._peers().items():
            told = self._told_version_by_address.get(address, 0)
            if told < quarantine.version and address not in self._telling:
                self._telling.add(address)
                self._tasks.spawn(self._tell(address, told, unrelayed_only))

    def _peers(self) -> dict[str, bool]:
        """Return whom to tell, and whether only what is not relayed yet.

        Without a seat of its own, an instance tells the nearest member.
        """
        members = self._members
        if members.own_seat is None:
            seat_id = members.nearest_seat()
            if seat_id is None:
                return {}
            return {members.rows_by_seat[seat_id].address: True}
        peers = dict.fromkeys(self._sharing.follower_addresses(), False)
        for row in members.other_rows_by_seat.values():
            peers[row.address] = True
        return peers

    async def _tell(
        self, address: str, told_version: int, unrelayed_only: bool
    ) -> None:
        quarantine = self._quarantine
        version = quarantine.version
        evidence = quarantine.evidence_since(
            told_version,
            time.monotonic(),
            unrelayed_only,
            is_relayed=self._members.own_seat is not None,
        )
        try:
            is_noted = not evidence
            if evidence:
                answer = await self._links.request(
                    address, evidence, TELL_TIMEOUT_S
                )
                is_noted = isinstance(answer, Ok)
            if is_noted:
                self._told_version_by_address[address] = version
        finally:
            self._telling.discard(address)
        if is_noted and version < quarantine.version:
            self.notify()

    async def _handle_told(self, message: EvidenceTold) -> EvidenceNoted:
        self._merge(message)
        return EvidenceNoted()

    def _merge(self, message: EvidenceTold) -> None:
        version = self._quarantine.version
        starts = self._quarantine.merge(message, time.monotonic())
        self._ended.learn(starts)
        if self._quarantine.version > version:
            self.notify()

    async def _handle_ask(self, _: AskEvidence) -> EvidenceTold:
        now_s = time.monotonic()
        return self._quarantine.evidence_since(0, now_s, is_relayed=True)

    async def _ask_at_start(self) -> None:
        """Ask what the others knew before this instance started."""
        until_s = time.monotonic() + ASK_AT_START_S
        answered: set[str] = set()
        while time.monotonic() < until_s:
            for address in self._members.relay_addresses():
                if len(answered) >= ANSWERS_AT_START:
                    return
                if address in answered:
                    continue
                found = await self._links.request(
                    address, AskEvidence(), TELL_TIMEOUT_S
                )
                match found:
                    case Ok(EvidenceTold() as evidence):
                        answered.add(address)
                        self._merge(evidence)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _log_convictions(self, now_s: float) -> None:
        quarantined = self._quarantine.quarantined(now_s)
        for conviction in quarantined:
            if (
                self._logged_term_by_digest.get(conviction.digest)
                == conviction.term
            ):
                continue
            log_event(
                LOG,
                'quarantined',
                logging.WARNING,
                digest=conviction.digest.hex(),
                term=conviction.term,
                servers=','.join(conviction.server_ids),
                left_s=round(conviction.left_s),
            )
        logged = {c.digest: c.term for c in quarantined}
        for digest in self._logged_term_by_digest.keys() - logged.keys():
            log_event(LOG, 'quarantine_over', digest=digest.hex())
        self._logged_term_by_digest = logged

    def close(self) -> None:
        """Cancel the messages under way."""
        self._tasks.cancel()
