"""Define the frames of the stream between two instances."""

from dataclasses import dataclass
from enum import Enum

import msgspec

# Exchange number of the frame by which a peer announces its stop; exchanges
# count from 1. Its body is the number of the last exchange that it has taken.
STOPPING_EXCHANGE = 0
# Name of a failed frame for an exchange that the peer has not taken.
NOT_TAKEN = 'not taken'


class FrameKind(Enum):
    """Lists the kinds of frames.

    OPEN carries the request, ITEM one answer, LAST the one that ends the
    exchange. END and FAILED end it without one, as does CANCEL from the side
    that has opened it.
    """

    OPEN = 0
    ITEM = 1
    END = 2
    FAILED = 3
    CANCEL = 4
    LAST = 6


@dataclass(frozen=True, slots=True)
class Frame:
    """Holds one message of one exchange.

    The name is that of the message class; with FAILED, the body is the reason
    as text, and the name may be NOT_TAKEN.
    """

    exchange: int
    kind: FrameKind
    name: str = ''
    body: bytes = b''


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return msgspec.msgpack.encode(frame)


def decode_frame(data: bytes) -> Frame:
    """Decode a frame from MessagePack."""
    return msgspec.msgpack.decode(data, type=Frame)


def not_taken_frame(exchange: int) -> Frame:
    """Return the frame that ends an exchange that the peer has not taken."""
    return Frame(exchange, FrameKind.FAILED, NOT_TAKEN, b'peer is stopping')
