"""Test the parsing of server-sent events, also of streams without end."""

from itertools import accumulate
import unittest

from jackdawfield.event_stream import EventParser
from jackdawfield.event_stream import MAX_EVENT_BYTES
from jackdawfield.event_stream import StreamEvent

STREAM = (
    b'id: 1\ndata: a b\n\n'
    b'x-jackdawfield-weight-versions: 2\nid: 2\ndata:c\ndata: d\n\n'
    b': comment\n\n'
    b'id: 3\r\ndata: e\r\n\r\n'
    b'id: 4\ndata:\n\n'
)


class EventParserTest(unittest.TestCase):
    def parse(self, *pieces: bytes) -> list[StreamEvent]:
        parser = EventParser()
        return [event for piece in pieces for event in parser.feed(piece)]

    def test_data_and_ids_of_events(self) -> None:
        events = self.parse(STREAM)
        self.assertEqual(
            [(event.event_id, event.data) for event in events],
            [
                (b'1', b'a b'),
                (b'2', b'c\nd'),
                (None, None),
                (b'3', b'e'),
                (b'4', b''),
            ],
        )

    def test_raw_bytes_of_the_events_are_the_stream(self) -> None:
        raw = b''.join(event.raw for event in self.parse(STREAM))
        self.assertEqual(raw, STREAM)

    def test_pieces_may_be_split_anywhere(self) -> None:
        whole = self.parse(STREAM)
        for size in range(1, len(STREAM)):
            parser = EventParser()
            events = []
            counts = []
            for start in range(0, len(STREAM), size):
                found = parser.feed(STREAM[start : start + size])
                events += found
                counts.append(len(found))
            self.assertEqual(events, whole)
            self.assertEqual(list(accumulate(counts))[-1], 5)

    def test_event_in_progress_is_the_rest(self) -> None:
        parser = EventParser()
        events = parser.feed(b'data: whole\n\ndata: cut')
        self.assertEqual([event.data for event in events], [b'whole'])
        self.assertEqual(parser.rest, b'data: cut')

    def test_line_without_end_is_oversized(self) -> None:
        parser = EventParser()
        piece = b'x' * 16384
        for _ in range(MAX_EVENT_BYTES // len(piece)):
            parser.feed(piece)
            self.assertFalse(parser.is_oversized)
        parser.feed(piece)
        self.assertTrue(parser.is_oversized)

    def test_lines_without_a_blank_one_are_oversized(self) -> None:
        parser = EventParser()
        piece = b'data: x\n' * 2048
        for _ in range(MAX_EVENT_BYTES // len(piece)):
            parser.feed(piece)
            self.assertFalse(parser.is_oversized)
        parser.feed(piece)
        self.assertTrue(parser.is_oversized)

    def test_each_byte_is_searched_once(self) -> None:
        searched = 0

        class CountingBuffer(bytearray):
            def find(self, sub: bytes, start: int = 0) -> int:
                nonlocal searched
                found = super().find(sub, start)
                end = len(self) if found < 0 else found + 1
                searched += end - start
                return found

        parser = EventParser()
        parser._buffer = CountingBuffer()
        sent = 0
        for _ in range(64):
            for piece in (b'data: ', b'y' * 2000, b'z' * 2000, b'\n', b'\n'):
                parser.feed(piece)
                sent += len(piece)
        self.assertLessEqual(searched, sent)
