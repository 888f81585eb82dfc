"""Test the parsing of engines' event streams."""

import json
import unittest

from jackdawfield.drivers.backends import BackendError
from jackdawfield.drivers.backends import EngineStreamParser
from jackdawfield.drivers.backends import Token
from jackdawfield.drivers.backends import Usage


def encode_stream() -> bytes:
    choice = {'index': 0, 'delta': {'content': 'wörd '}}
    token = json.dumps({'choices': [choice]}, ensure_ascii=False)
    usage = {'prompt_tokens': 3, 'completion_tokens': 2}
    end = json.dumps({'choices': [], 'usage': usage})
    text = f'data: {token}\n\ndata: {token}\n\ndata: {end}\n\n'
    return f'{text}data: [DONE]\n\n'.encode()


class EngineStreamParserTest(unittest.TestCase):
    def test_events_do_not_depend_on_chunk_boundaries(self) -> None:
        expected = [Token('wörd '), Token('wörd '), Usage(3, 2, 0)]
        data = encode_stream()
        for cut in range(len(data)):
            parser = EngineStreamParser()
            events = parser.feed(data[:cut]) + parser.feed(data[cut:])
            self.assertEqual(expected, events, cut)
            self.assertTrue(parser.is_done)

    def test_truncated_stream_is_not_done(self) -> None:
        data = encode_stream()
        for cut in range(len(data)):
            parser = EngineStreamParser()
            parser.feed(data[:cut])
            self.assertFalse(parser.is_done, cut)

    def test_malformed_stream_ends_with_one_error(self) -> None:
        good = encode_stream().partition(b'\n\n')[0] + b'\n\n'
        for bad in (b'data: {\n\n', b'x' * 1_000_000):
            parser = EngineStreamParser()
            events = parser.feed(good + bad)
            self.assertEqual(events[0], Token('wörd '))
            self.assertIsInstance(events[1], BackendError)
            self.assertEqual(parser.feed(good), [])
            self.assertFalse(parser.is_done)
