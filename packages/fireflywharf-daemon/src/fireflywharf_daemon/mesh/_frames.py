"""Frames of the mesh: kind, sender and content, as a MessagePack array."""

import ipaddress
from enum import IntEnum

import attrs
import msgspec

from ..settings import split_address

# A target's answer of up to 4 MiB fits with room for the other fields.
MESSAGE_MAX_BYTES = 8_388_608
# Length prefix of a message in the SP protocol over TCP, and hop count of Pair1.
FRAME_OVERHEAD_BYTES = 12


class FrameKind(IntEnum):
    """What a frame carries; receivers ignore kinds that they do not know."""

    MESSAGE = 0
    CALL = 1
    ANSWER = 2
    REFUSED = 3
    FAILED = 4
    PING = 5
    PONG = 6


@attrs.frozen(slots=True)
class Sender:
    """Sender of a frame.

    Args:
        incarnation: lifetime of the daemon process.
        address: mesh address at which the sender receives.
    """

    incarnation: str
    address: str


@attrs.frozen(slots=True)
class Frame:
    """A decoded frame."""

    kind: int
    sender: Sender
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[int, str, str, bytes])


def is_peer_address(address: str) -> bool:
    """Return whether `address` is an IP number and a port that can be dialled."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= 65_535


def encode_frame(kind: FrameKind, sender: Sender, body: bytes = b"") -> bytes:
    """Return the bytes of a frame."""
    return _encoder.encode((int(kind), sender.incarnation, sender.address, body))


def decode_frame(data: bytes) -> Frame | None:
    """Return the frame that `data` encodes, or None when it is damaged."""
    try:
        kind, incarnation, address, body = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if not is_peer_address(address):
        return None
    return Frame(kind, Sender(incarnation, address), body)
