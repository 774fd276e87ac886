"""Wake-up of the receiver thread before its socket is closed."""

import logging
import time

import pynng

from ._frames import FrameKind, Sender, encode_frame

_logger = logging.getLogger(__name__)

SEND_RETRY_S = 0.005


def wake_receiver(sender: Sender, timeout_s: float) -> None:
    """Send a frame to the receiver of this process, so that it checks whether it has to stop.

    nng 1.11 aborts or hangs if a socket is closed, or a receive times out, while another thread
    receives from it. The receive call must therefore return first.

    Args:
        sender: incarnation and mesh address of this process.
        timeout_s: longest time for the attempts, in seconds.
    """
    end_s = time.monotonic() + timeout_s
    with pynng.Pair1(polyamorous=False) as waker:
        waker.dial(f"tcp://{sender.address}", block=False)
        while time.monotonic() < end_s:
            try:
                waker.send(encode_frame(FrameKind.PONG, sender), block=False)
                # Leave time to write the frame before the socket is closed.
                time.sleep(SEND_RETRY_S)
                return
            except pynng.NNGException:
                time.sleep(SEND_RETRY_S)
    _logger.warning("mesh receiver at %s did not accept a wake-up frame", sender.address)
