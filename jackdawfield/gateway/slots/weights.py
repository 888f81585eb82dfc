"""Weigh organisations by their rates where slots are scarce."""

from jackdawfield.gateway.model import FleetConfiguration
from jackdawfield.model import OrganisationId

DEFAULT_WEIGHT = 1.0


class OrganisationWeights:
    """Holds the weights of one configuration's organisations.

    The weight is the rate limit, and the mean of all rate limits for an
    organisation without one.
    """

    def __init__(self) -> None:
        self._configuration: FleetConfiguration | None = None
        self._mean_rate_per_s = DEFAULT_WEIGHT

    def weight_of(
        self,
        organisation_id: OrganisationId | None,
        configuration: FleetConfiguration | None,
    ) -> float:
        """Return the weight of an organisation, which may be unknown."""
        if configuration is None:
            return DEFAULT_WEIGHT
        if configuration is not self._configuration:
            self._configuration = configuration
            self._mean_rate_per_s = _mean_rate_per_s(configuration)
        if organisation_id is None:
            return self._mean_rate_per_s
        organisation = configuration.organisations_by_id.get(organisation_id)
        if organisation is None or organisation.rate_per_s <= 0:
            return self._mean_rate_per_s
        return organisation.rate_per_s


def _mean_rate_per_s(configuration: FleetConfiguration) -> float:
    rates = [
        organisation.rate_per_s
        for organisation in configuration.organisations_by_id.values()
        if organisation.rate_per_s > 0
    ]
    return sum(rates) / len(rates) if rates else DEFAULT_WEIGHT
