"""Choose the owner of a service's slots in a failure domain."""

from dataclasses import dataclass
import logging
import time

from jackdawfield.decisions.placement import choose_owner
from jackdawfield.gateway.fleet.member_rows import MemberRow
from jackdawfield.gateway.fleet.members import Members
from jackdawfield.logs import log_event
from jackdawfield.model import DomainId
from jackdawfield.model import ServiceName

LOG = logging.getLogger(__name__)
# A member that did not answer is not asked for this long.
AVOID_S = 0.5
# Requests in a row that were not answered in time, after which it is avoided.
SILENCES_TO_AVOID = 2
# A member that said that it stops is gone within this time.
STOPPING_AVOID_S = 10.0


@dataclass(frozen=True, slots=True)
class Owner:
    """Identifies the member that owns slots, and one start of its process."""

    address: str
    incarnation: str
    is_own: bool


class OwnerChoice:
    """Chooses among the members that serve, and avoids unreachable ones."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self._avoid_until_s_by_incarnation: dict[str, float] = {}
        self._silences_by_incarnation: dict[str, int] = {}

    def serving(self, domain_id: DomainId, now_s: float) -> list[Owner]:
        """Return the members of a failure domain that may be asked."""
        return [
            self._to_owner(row)
            for row in self._members.rows_by_seat.values()
            if self._may_own(row, domain_id, now_s)
        ]

    def _may_own(
        self, row: MemberRow, domain_id: DomainId, now_s: float
    ) -> bool:
        return (
            row.domain_id == domain_id
            and row.is_serving
            and not self.is_avoided(row.incarnation, now_s)
        )

    def _to_owner(self, row: MemberRow) -> Owner:
        is_own = row.incarnation == self._members.incarnation
        return Owner(row.address, row.incarnation, is_own)

    def choose(
        self, domain_id: DomainId, service: ServiceName, now_s: float
    ) -> Owner | None:
        """Return the owner to ask, None if none is known or all are avoided.

        While an owner is avoided, the next member of its domain is chosen.
        """
        rows = self._members.rows_by_seat
        serving = [
            seat_id
            for seat_id, row in rows.items()
            if self._may_own(row, domain_id, now_s)
        ]
        seat_id = choose_owner(service, serving)
        if seat_id is None:
            return None
        return self._to_owner(rows[seat_id])

    def owns(self, service: ServiceName) -> bool:
        """Return whether this instance owns a service's slots here."""
        domain_id = self._members.settings.domain_id
        owner = self.choose(domain_id, service, time.monotonic())
        return owner is not None and owner.is_own

    def find_address(
        self, domain_id: DomainId, service: ServiceName
    ) -> str | None:
        """Return the address of the owner to ask, None if none is known."""
        owner = self.choose(domain_id, service, time.monotonic())
        return owner.address if owner is not None else None

    def is_avoided(self, incarnation: str, now_s: float) -> bool:
        """Return whether a member is not asked now."""
        until_s = self._avoid_until_s_by_incarnation.get(incarnation, 0.0)
        return now_s < until_s

    def record_answer(self, owner: Owner) -> None:
        """Record that a member answered in time."""
        self._silences_by_incarnation.pop(owner.incarnation, None)

    def record_silence(self, owner: Owner, now_s: float) -> None:
        """Avoid a member that repeatedly did not answer in time."""
        silences = self._silences_by_incarnation.get(owner.incarnation, 0) + 1
        self._silences_by_incarnation[owner.incarnation] = silences
        if silences >= SILENCES_TO_AVOID:
            self.avoid(owner, 'no answer in time', now_s)

    def is_known(self, owner: Owner) -> bool:
        """Return whether an owner is still a member."""
        return any(
            row.incarnation == owner.incarnation
            for row in self._members.rows_by_seat.values()
        )

    def avoid(
        self, owner: Owner, reason: str, now_s: float, avoid_s: float = AVOID_S
    ) -> None:
        """Ask other members instead of an owner for `avoid_s` seconds."""
        if self.is_avoided(owner.incarnation, now_s):
            return
        known = {
            row.incarnation for row in self._members.rows_by_seat.values()
        }
        self._silences_by_incarnation = {
            incarnation: silences
            for incarnation, silences in self._silences_by_incarnation.items()
            if incarnation in known
        }
        self._avoid_until_s_by_incarnation = {
            incarnation: until_s
            for incarnation, until_s in (
                self._avoid_until_s_by_incarnation.items()
            )
            if now_s < until_s
        }
        until_s = now_s + avoid_s
        self._avoid_until_s_by_incarnation[owner.incarnation] = until_s
        log_event(
            LOG,
            'slot_owner_avoided',
            peer=owner.address,
            reason=reason,
            seconds=avoid_s,
            members_version=self._members.version,
        )
