"""Thread pools for blocking clients, so that no kind of call can use up the threads of another."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any


class IoPools:
    """Named thread pools of fixed size.

    Args:
        sizes: number of threads of each pool.
    """

    def __init__(self, sizes: dict[str, int]) -> None:
        self.sizes = sizes
        self._pools = {
            name: ThreadPoolExecutor(size, thread_name_prefix=name) for name, size in sizes.items()
        }

    async def run(self, pool: str, function: Callable[..., Any], *args: Any) -> Any:
        """Run a blocking function in the pool and return its result."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._pools[pool], function, *args)

    def close(self) -> None:
        """Drop queued calls and let running ones end."""
        for pool in self._pools.values():
            pool.shutdown(wait=False, cancel_futures=True)
