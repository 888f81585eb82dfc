"""Test the parsing of engines' event streams."""

import json
import unittest

from jackdawfield.drivers.backends import EventParser
from jackdawfield.drivers.backends import Token
from jackdawfield.drivers.backends import Usage


def encode_stream() -> bytes:
    choice = {'index': 0, 'delta': {'content': 'wörd '}}
    token = json.dumps({'choices': [choice]}, ensure_ascii=False)
    usage = {'prompt_tokens': 3, 'completion_tokens': 2}
    end = json.dumps({'choices': [], 'usage': usage})
    text = f'data: {token}\n\ndata: {token}\n\ndata: {end}\n\n'
    return f'{text}data: [DONE]\n\n'.encode()


class EventParserTest(unittest.TestCase):
    def test_events_do_not_depend_on_chunk_boundaries(self) -> None:
        expected = [Token('wörd '), Token('wörd '), Usage(3, 2, 0)]
        data = encode_stream()
        for cut in range(len(data)):
            parser = EventParser()
            events = parser.feed(data[:cut]) + parser.feed(data[cut:])
            self.assertEqual(expected, events, cut)
            self.assertTrue(parser.is_done)

    def test_truncated_stream_is_not_done(self) -> None:
        data = encode_stream()
        for cut in range(len(data)):
            parser = EventParser()
            parser.feed(data[:cut])
            self.assertFalse(parser.is_done, cut)
