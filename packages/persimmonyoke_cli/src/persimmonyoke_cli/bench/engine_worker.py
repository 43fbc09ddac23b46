"""Worker process that runs a simulated engine until standard input is closed."""

from gevent import monkey

monkey.patch_all()

import sys

import gevent
from loguru import logger

from persimmonyoke_testing.engine import EngineStandIn


def main() -> None:
    """Start the engine, print its address and serve until standard input closes."""
    logger.remove()
    with EngineStandIn() as engine:
        print(engine.address, flush=True)
        gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == "__main__":
    main()
