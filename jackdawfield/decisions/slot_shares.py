"""Limit the slots of each organisation while others are active.

A share here is the fraction of a pool's slots that an organisation may hold.
"""

from dataclasses import dataclass

from jackdawfield.model import OrganisationId


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Sets the limit of one organisation's share of the slots.

    An organisation's share is its weight among the active organisations
    times `headroom`, but at least `min_share`; a `headroom` of zero sets no
    limit. The limit applies once the fraction `unlimited_fill` of the slots is
    taken. An organisation is active until `active_s` after its last
    request, or while it holds slots.
    """

    headroom: float = 1.0
    unlimited_fill: float = 0.5
    min_share: float = 0.25
    active_s: float = 20.0


@dataclass(slots=True)
class OrganisationUsage:
    """Holds the weight and the slots in flight of one organisation."""

    weight: float
    last_request_at_s: float
    in_flight: int = 0


class SlotShares:
    """Counts the slots in flight of each organisation."""

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._usage_by_organisation: dict[
            OrganisationId, OrganisationUsage
        ] = {}
        self._weight_sum = 0.0
        self._in_flight = 0
        self._swept_at_s = 0.0

    def record_request(
        self, organisation_id: OrganisationId, weight: float, now_s: float
    ) -> None:
        """Record a request of an organisation."""
        usage = self._usage_by_organisation.get(organisation_id)
        if usage is None:
            usage = OrganisationUsage(weight, now_s)
            self._usage_by_organisation[organisation_id] = usage
            self._weight_sum += weight
        self._weight_sum += weight - usage.weight
        usage.weight = weight
        usage.last_request_at_s = now_s

    def record_grant(
        self, organisation_id: OrganisationId, weight: float, now_s: float
    ) -> None:
        """Record that an organisation has taken a slot."""
        self.record_request(organisation_id, weight, now_s)
        self._usage_by_organisation[organisation_id].in_flight += 1
        self._in_flight += 1

    def record_release(self, organisation_id: OrganisationId) -> None:
        """Record that an organisation has released a slot."""
        self._usage_by_organisation[organisation_id].in_flight -= 1
        self._in_flight -= 1

    def held_shares(
        self,
        organisation_id: OrganisationId,
        slots: int,
        now_s: float,
        further: int = 0,
    ) -> float:
        """Return an organisation's slots as a multiple of its share.

        `further` slots count as held; a share is at least one slot.
        """
        self._drop_inactive(now_s)
        usage = self._usage_by_organisation.get(organisation_id)
        if usage is None:
            return 0.0
        share = slots * usage.weight / self._weight_sum
        return (usage.in_flight + further) / max(1.0, share)

    def allows(
        self, organisation_id: OrganisationId, slots: int, now_s: float
    ) -> bool:
        """Return whether an organisation may take one more of the slots."""
        if not self._settings.headroom:
            return True
        if self._in_flight < self._settings.unlimited_fill * slots:
            return True
        self._drop_inactive(now_s)
        usage = self._usage_by_organisation.get(organisation_id)
        if usage is None or len(self._usage_by_organisation) == 1:
            return True
        weight_fraction = usage.weight / self._weight_sum
        share = max(
            self._settings.min_share, weight_fraction * self._settings.headroom
        )
        if share >= 1:
            return True
        limit = max(1.0, slots * share)
        return usage.in_flight < limit

    def _drop_inactive(self, now_s: float) -> None:
        if now_s - self._swept_at_s < 1.0:
            return
        self._swept_at_s = now_s
        oldest_s = now_s - self._settings.active_s
        for organisation_id, usage in tuple(
            self._usage_by_organisation.items()
        ):
            if usage.in_flight or usage.last_request_at_s >= oldest_s:
                continue
            self._weight_sum -= usage.weight
            del self._usage_by_organisation[organisation_id]
