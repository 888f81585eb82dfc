"""Look at sockets without reading, and accept what waits in them."""

from collections.abc import Iterator
import logging
from select import poll
from select import POLLIN
import socket
import struct
from typing import Any

from jackdawfield.logs import log_event

LOG = logging.getLogger(__name__)


def has_unread_input(file_number: int) -> bool:
    """Return whether bytes or a close wait in a socket, unread.

    An event loop reports them in its next turn only.
    """
    poller = poll()
    poller.register(file_number, POLLIN)
    return bool(poller.poll(0))


def reset_at_close(sock: socket.socket, is_reset: bool) -> None:
    """Set whether a close resets the connection, as does a process's end."""
    linger = struct.pack('ii', is_reset, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def bound_buffers(sock: socket.socket, size_bytes: int) -> None:
    """Bound what the kernel holds for a socket and those accepted from it."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        try:
            sock.setsockopt(socket.SOL_SOCKET, option, size_bytes)
        except OSError as error:
            log_event(LOG, 'buffer_not_bounded', reason=error)


def accept_waiting(sock: socket.socket) -> Iterator[tuple[socket.socket, Any]]:
    """Yield the connections that wait in a listening socket, and addresses.

    Closing the socket would reset them.
    """
    while True:
        try:
            connection, address = sock.accept()
        except ConnectionAbortedError:
            # Its caller has left; others may wait behind it.
            continue
        except BlockingIOError:
            return
        except OSError as error:
            log_event(LOG, 'accept_failed', reason=error)
            return
        yield connection, address
