"""Mesh: one-way messages and calls between entry VMs, over pynng."""

from ._frames import MESSAGE_MAX_BYTES, Sender
from ._mesh import Mesh
from ._outcomes import CallFailure, CallRefused, IncomingCall, MeshObserver, NoAnswer, Unreachable

__all__ = [
    "MESSAGE_MAX_BYTES",
    "CallFailure",
    "CallRefused",
    "IncomingCall",
    "Mesh",
    "MeshObserver",
    "NoAnswer",
    "Sender",
    "Unreachable",
]
