"""Name the gauges of an instance's slots and tell how each is read."""

from jackdawfield.gateway.measurement import GatewayMetrics
from jackdawfield.gateway.slots.pooling import SlotPooling


def add_slot_gauges(metrics: GatewayMetrics, pooling: SlotPooling) -> None:
    """Add what this instance asks for and what it grants as an owner."""
    client, owner = pooling.client, pooling.owner
    metrics.add_gauge('slots_asked', lambda: client.asked_count)
    metrics.add_gauge('slots_granted', lambda: client.granted_count)
    metrics.add_gauge('slots_queued', lambda: client.queued_count)
    metrics.add_gauge('slots_refused', lambda: client.refused_count)
    metrics.add_gauge('slot_changes_sent', lambda: client.changes.sent_count)
    metrics.add_gauges_by_label(
        'slots_chosen_alone',
        'reason',
        lambda: {
            reason.value: count
            for reason, count in client.fallback_counts.items()
        },
    )
    metrics.add_gauges_by_label(
        'slots_owned_in_use',
        'service',
        lambda: {
            service: pool.used_count
            for service, pool in owner.pools_by_service.items()
        },
    )
    metrics.add_gauges_by_label(
        'slots_owned_queue',
        'service',
        lambda: {
            service: pool.queued_count
            for service, pool in owner.pools_by_service.items()
        },
    )
    _add_crossing_gauges(metrics, pooling)


def _add_crossing_gauges(
    metrics: GatewayMetrics, pooling: SlotPooling
) -> None:
    crossings, reports = pooling.owner.crossings, pooling.reports
    metrics.add_gauge('calls_kept', lambda: crossings.granted_count)
    metrics.add_gauge('domain_reports_sent', lambda: reports.sent_count)
    add_labelled = metrics.add_gauges_by_label
    add_labelled('calls_crossed', 'domain', crossings.calls_by_domain)
    add_labelled('calls_crossed_for', 'reason', crossings.calls_by_reason)
    add_labelled('bytes_crossed', 'domain', crossings.bytes_by_domain)
    add_labelled('calls_returned', 'domain', crossings.returns_by_domain)
    add_labelled('domain_round_trip_s', 'domain', reports.round_trips_s)
