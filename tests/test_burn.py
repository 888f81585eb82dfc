import subprocess
import sys
import unittest

from jackdawfield.burn import BurnLine
from jackdawfield.burn import compute_report
from jackdawfield.burn import Severity
from jackdawfield.burn_page import render_page
from jackdawfield.metrics import HIGHEST_MS
from jackdawfield.metrics import MAX_SERIES
from jackdawfield.metrics import Metric
from jackdawfield.metrics import Registry
from jackdawfield.metrics import SLOT_S

HOUR_S = 3600.0
NOW_S = 1000 * HOUR_S


def record_events(
    registry: Registry, good: int, bad: int, at_s: float, name: str = 'o'
) -> None:
    for number in range(good + bad):
        elapsed_ms = 100.0 if number < good else 2000.0
        registry.record(Metric.FIRST_TOKEN, name, 'r', elapsed_ms, at_s)


def only_line(*registries: Registry) -> BurnLine:
    report = compute_report([r.snapshot(NOW_S) for r in registries], NOW_S)
    (line,) = report.lines
    return line


class BurnTest(unittest.TestCase):
    def test_sums_instances_and_computes_budget_left(self) -> None:
        one, two = Registry('i1'), Registry('i2')
        record_events(one, 99, 1, NOW_S - 60)
        record_events(two, 96, 4, NOW_S - 60)
        line = only_line(one, two)
        self.assertEqual((200, 5), (line.events, line.bad))
        self.assertAlmostEqual(0.5, line.budget_left)
        self.assertEqual((), line.alerts)

    def test_page_alert_requires_both_windows(self) -> None:
        burning = Registry('i')
        for minutes in range(0, 60, 5):
            record_events(burning, 1, 9, NOW_S - HOUR_S + 60 * minutes + 1)
        self.assertIn(Severity.PAGE, only_line(burning).alerts)
        recovered = Registry('i')
        record_events(recovered, 1, 99, NOW_S - HOUR_S + 600)
        record_events(recovered, 10, 0, NOW_S - 1)
        self.assertNotIn(Severity.PAGE, only_line(recovered).alerts)
        spike = Registry('i')
        record_events(spike, 900, 0, NOW_S - HOUR_S + 600)
        record_events(spike, 0, 10, NOW_S - 1)
        self.assertNotIn(Severity.PAGE, only_line(spike).alerts)

    def test_expired_slots_are_not_reported(self) -> None:
        registry = Registry('i')
        record_events(registry, 0, 10, NOW_S - 7 * HOUR_S)
        record_events(registry, 10, 0, NOW_S - 1)
        self.assertEqual(0, only_line(registry).bad)

    def test_refusals_in_doubt_count_for_wrongful_refusals(self) -> None:
        registry = Registry('i')
        for metric, count in (
            (Metric.ADMITTED, 90),
            (Metric.REFUSED, 8),
            (Metric.REFUSED_IN_DOUBT, 2),
        ):
            for _ in range(count):
                registry.count(metric, 'o', 'r', NOW_S - 1)
        line = only_line(registry)
        self.assertEqual('wrongful refusals', line.objective)
        self.assertEqual((100, 2), (line.events, line.bad))

    def test_html_page_escapes_names_and_includes_a_plot(self) -> None:
        registry = Registry('i')
        record_events(registry, 1, 1, NOW_S - 1, '<b>')
        text = render_page(compute_report([registry.snapshot(NOW_S)], NOW_S))
        self.assertIn('data:image/png;base64,iVBOR', text)
        self.assertNotIn('<b>', text)

    def test_import_does_not_load_the_plotting_library(self) -> None:
        code = (
            'import jackdawfield.burn, jackdawfield.burn_page, sys; '
            'sys.exit("matplotlib" in sys.modules)'
        )
        done = subprocess.run([sys.executable, '-c', code], check=False)
        self.assertEqual(0, done.returncode)


class RegistryTest(unittest.TestCase):
    def test_number_of_series_is_bounded(self) -> None:
        registry = Registry('i')
        for number in range(MAX_SERIES + 50):
            registry.count(Metric.ADMITTED, f'o{number}', 'r', NOW_S)
        values = registry.snapshot(NOW_S).values
        self.assertEqual(MAX_SERIES + 1, len(values))
        self.assertEqual(MAX_SERIES + 50, sum(v.count for v in values))

    def test_values_out_of_range_are_clamped(self) -> None:
        registry = Registry('i')
        for elapsed_ms in (-5.0, 0.0, 10.0 * HIGHEST_MS):
            registry.record(Metric.FIRST_TOKEN, 'o', 'r', elapsed_ms, NOW_S)
        self.assertEqual(3, only_line(registry).events)

    def test_prometheus_text_escapes_labels(self) -> None:
        registry = Registry('i')
        registry.count(Metric.ADMITTED, 'a"b\n', 'r', NOW_S - SLOT_S)
        registry.count(Metric.ADMITTED, 'a"b\n', 'r', NOW_S)
        expected = (
            '# TYPE jackdawfield_requests_admitted counter\n'
            'jackdawfield_requests_admitted'
            '{organisation="a\\"b\\n",route="r"} 2\n'
        )
        self.assertEqual(expected, registry.render_prometheus())


if __name__ == '__main__':
    unittest.main()
