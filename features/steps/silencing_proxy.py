"""TCP proxy whose open connections can go silent while new ones work."""

import contextlib
import socket
import threading

CHUNK_BYTES = 65536


class SilencingProxy:
    """Forwards connections to one address.

    Args:
        target: host and port to forward to.
    """

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._open = set()
        self._silent = set()
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Drop what arrives on the connections that are open, from both sides."""
        self._silent |= self._open

    def close(self):
        """Stop accepting connections, and close the open ones."""
        self._listener.close()
        for near in list(self._open):
            near.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._target)
            except OSError:
                return
            self._open.add(near)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pump, args=[near, source, sink], daemon=True).start()

    def _pump(self, near, source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                if near not in self._silent:
                    sink.sendall(data)
        for sock in (source, sink):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        self._open.discard(near)
