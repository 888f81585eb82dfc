from itertools import accumulate
import unittest

from jackdawfield.gateway.streams.events import EventReader

STREAM = (
    b'id: 1\ndata: a b\n\n'
    b'x-jackdawfield-weight-versions: 2\nid: 2\ndata:c\ndata: d\n\n'
    b': comment\n\n'
    b'id: 3\r\ndata: e\r\n\r\n'
    b'id: 4\ndata:\n\n'
)


class EventReaderTest(unittest.TestCase):
    def test_text_has_a_line_feed_after_the_data_of_each_event(self) -> None:
        reader = EventReader()
        reader.feed(STREAM)
        self.assertEqual(reader.text, b'a b\nc\nd\ne\n\n')
        self.assertEqual(len(reader.events), 4)

    def test_pieces_may_be_split_anywhere(self) -> None:
        whole = EventReader()
        whole.feed(STREAM)
        for size in range(1, len(STREAM)):
            reader = EventReader()
            counts = [
                reader.feed(STREAM[start : start + size])
                for start in range(0, len(STREAM), size)
            ]
            self.assertEqual(reader.text, whole.text)
            self.assertEqual(list(accumulate(counts))[-1], 4)

    def test_incomplete_event_is_left_out(self) -> None:
        reader = EventReader()
        reader.feed(b'data: whole\n\ndata: cut')
        self.assertEqual(reader.text, b'whole\n')
