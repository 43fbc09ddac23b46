"""Yielding to other greenlets, including those that wait for input."""

import gevent


def yield_to_io() -> None:
    """Let all other greenlets run, also those whose input has arrived.

    After ``gevent.sleep(0)`` the event loop runs the greenlets that yield up to 50
    times before it polls the sockets.
    """
    hub = gevent.get_hub()
    # An idle watcher keeps the loop from blocking in the poll.
    idle = hub.loop.idle()
    idle.start(_do_nothing)
    check = hub.loop.check()
    try:
        hub.wait(check)
    finally:
        check.close()
        idle.stop()
        idle.close()


def _do_nothing() -> None:
    """Serve as the callback of a watcher that only has to be active."""
