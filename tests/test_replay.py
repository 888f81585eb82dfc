from pathlib import Path
import tempfile
import unittest

from jackdawfield.replay import replay

TRACES = Path(__file__).resolve().parent.parent / 'traces'


class ReplayTest(unittest.TestCase):
    def test_every_trace_has_the_expected_outcomes(self) -> None:
        paths = sorted(TRACES.glob('*.jsonl'))
        self.assertGreaterEqual(len(paths), 8)
        for path in paths:
            with self.subTest(path.stem):
                report = replay(path).unwrap()
                self.assertEqual((), report.differences)
                self.assertTrue(report.ok)

    def replay_text(self, text: str):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'trace.jsonl'
            path.write_text(text)
            return replay(path)

    def test_reports_the_lines_of_different_outcomes(self) -> None:
        text = (TRACES / 'home_killed.jsonl').read_text()
        self.assertEqual(2, text.count('"answer": "answer 3"'))
        changed = text.replace('"answer": "answer 3"', '"answer": "x"', 1)
        report = self.replay_text(changed).unwrap()
        self.assertFalse(report.ok)
        self.assertEqual([11, 14], [d.line for d in report.differences])

    def test_rejects_files_that_are_not_traces(self) -> None:
        error = self.replay_text('\n{"type": "dance"}').unwrap_err()
        self.assertEqual(2, error.line)
        self.assertTrue(replay('/no/such/trace').is_err())
        self.assertFalse(self.replay_text('').unwrap().ok)
