"""Separate thread pools for each kind of blocking call, so that none can starve another."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any


class IoPools:
    """Named thread pools of fixed size.

    Args:
        sizes: number of threads by name of the pool.
    """

    def __init__(self, sizes: dict[str, int]) -> None:
        self.sizes = sizes
        self._pools = {
            name: ThreadPoolExecutor(size, thread_name_prefix=name) for name, size in sizes.items()
        }

    async def run(self, pool: str, function: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking function in a pool and return its result.

        Args:
            pool: name of the pool.
            function: function to call.
            args: its arguments.
        """
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pools[pool], function, *args)

    def close(self) -> None:
        """Cancel the queued calls; running calls end without being waited for."""
        for pool in self._pools.values():
            pool.shutdown(wait=False, cancel_futures=True)
