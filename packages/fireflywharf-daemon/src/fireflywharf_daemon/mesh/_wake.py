"""Waking of a receiver that waits for its next frame."""

import logging
import time

import pynng

from ._frames import FrameKind, Sender, encode_frame

_logger = logging.getLogger(__name__)

SEND_RETRY_S = 0.005


def wake_receiver(sender: Sender, timeout_s: float) -> None:
    """Send a frame to the own receiver, so that it looks whether it has to end.

    nng 1.11 aborts or hangs when a socket is closed, or a receive times out, while another thread
    receives from it; the receiver has to return first.

    Args:
        sender: own incarnation and address.
        timeout_s: time limit.
    """
    end_s = time.monotonic() + timeout_s
    with pynng.Pair1(polyamorous=False) as waker:
        waker.dial(f"tcp://{sender.address}", block=False)
        while time.monotonic() < end_s:
            try:
                waker.send(encode_frame(FrameKind.PONG, sender), block=False)
                # The frame has to leave before the socket is closed.
                time.sleep(SEND_RETRY_S)
                return
            except pynng.NNGException:
                time.sleep(SEND_RETRY_S)
    _logger.warning("mesh receiver at %s could not be woken", sender.address)
