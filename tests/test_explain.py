from pathlib import Path
import tempfile
import unittest

from jackdawfield.explain import explain_request
from jackdawfield.explain import parse_line
from tests.test_cmdline import run

LOGS = {
    'a.log': (
        'at=2026-10-03T23:03:24.080Z level=info instance=a logger=l '
        'event=call_ended request=other status=200 ms=3\n'
        'at=2026-10-03T23:03:26.500Z level=warning instance=a logger=l '
        'event=call_refused request=r2 status=429 reason="over the rate" '
        'retry_after_s=0.3\n'
        'not a log line about r2\n'
    ),
    'b.log': (
        '  12.5 b at=2026-10-03T23:03:25.900Z level=warning instance=b '
        'logger=l event=attempt_failed request=r1 server=i-1 run=unknown '
        'reason="answer \\"lost\\""\n'
        'at=2026-10-03T23:03:25.901Z level=warning instance=b logger=l '
        'event=call_failed request=r1 status=502 reason="answer lost"\n'
        'at=2026-10-03T23:03:25.902Z level=info instance=b logger=l '
        'event=call_ended request=r1 status=502 ms=31\n'
    ),
}


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.texts = [
            line for text in LOGS.values() for line in text.splitlines()
        ]

    def test_lines_of_the_request_are_in_order(self) -> None:
        explanation = explain_request('r1', reversed(self.texts))
        self.assertEqual(
            [line.event for line in explanation.lines],
            ['attempt_failed', 'call_failed', 'call_ended'],
        )
        self.assertIn('502', explanation.cause)
        self.assertIn('i-1', explanation.cause)

    def test_cause_of_a_refusal_includes_its_reason(self) -> None:
        cause = explain_request('r2', self.texts).cause
        self.assertEqual(cause, 'refused with 429, not run: over the rate')

    # Guards against a call that a planned stop cut off and that is explained
    # as answered with 200.
    def test_cause_of_a_call_that_a_stop_ended_is_the_stop(self) -> None:
        start = 'at=2026-10-03T23:03:27.000Z instance=a '
        cause = explain_request(
            'r4',
            (
                start + 'event=call_ended_by_stop request=r4 '
                'waiting_for=answer begun=True',
                start + 'event=call_ended request=r4 status=200 ms=900',
            ),
        ).cause
        self.assertIn('planned stop', cause)
        self.assertIn('answer', cause)

    def test_cause_of_a_quarantine_names_the_servers(self) -> None:
        text = (
            'at=1 instance=a event=request_quarantined request=r4 digest=2b '
            'servers=i-1,i-2,i-3'
        )
        refused = (
            'at=2 instance=a event=call_refused request=r4 status=503 '
            'reason=quarantined'
        )
        cause = explain_request('r4', [text, refused]).cause
        self.assertIn('i-1,i-2,i-3', cause)

    def test_cause_of_a_request_without_lines(self) -> None:
        self.assertIn('no line', explain_request('r3', self.texts).cause)

    def test_quoted_values_are_unquoted(self) -> None:
        line = parse_line('at=1 instance=a event=e text="a \\"b\\"\\nc\\\\d"')
        assert line is not None
        self.assertEqual(line.fields['text'], 'a "b"\nc\\d')

    def test_command_reads_log_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for name, text in LOGS.items():
                path = Path(folder) / name
                path.write_text(text)
                paths.append(str(path))
            code, output, _ = run('explain', 'r1', *paths)
            self.assertEqual(code, 0)
            self.assertIn('call_failed', output)
            code, _, errors = run('explain', 'r1', folder + '/none')
            self.assertEqual(code, 2)
            self.assertIn('none', errors)
