"""Frames of the mesh: MessagePack arrays of kind, sender and body."""

import ipaddress
from enum import IntEnum

import attrs
import msgspec

from ..settings import split_address

# An answer of a target has at most 4 MiB and fits together with the other fields.
MESSAGE_MAX_BYTES = 8_388_608
# Length prefix of the SP protocol over TCP (8 bytes) and hop count of Pair1 (4 bytes).
FRAME_OVERHEAD_BYTES = 12


class FrameKind(IntEnum):
    """Kind of a frame; receivers ignore unknown kinds."""

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
        incarnation: unique identifier of the sending process.
        address: mesh address on which the sender listens.
    """

    incarnation: str
    address: str


@attrs.frozen(slots=True)
class Frame:
    """A decoded frame; `kind` may be unknown to this version."""

    kind: int
    sender: Sender
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[int, str, str, bytes])


def is_peer_address(address: str) -> bool:
    """Return whether `address` is an IP address with a port from 1 to 65535."""
    try:
        host, port = split_address(address)
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return 0 < port <= 65_535


def encode_frame(kind: FrameKind, sender: Sender, body: bytes = b"") -> bytes:
    """Return the encoded frame."""
    return _encoder.encode((int(kind), sender.incarnation, sender.address, body))


def decode_frame(data: bytes) -> Frame | None:
    """Return the decoded frame, or None if the data or the sender's address is invalid."""
    try:
        kind, incarnation, address, body = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if not is_peer_address(address):
        return None
    return Frame(kind, Sender(incarnation, address), body)
