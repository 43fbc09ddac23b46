"""Run calls that another greenlet can interrupt."""

from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.event import AsyncResult, Event

Result = TypeVar("Result")


class CallInterrupted(Exception):
    """Signal that a call was abandoned because its interrupt event was set."""


def call_interruptible(interrupt: Event, call: Callable[[], Result]) -> Result:
    """Return the result; raise ``CallInterrupted`` if the event is set first."""
    outcome: AsyncResult = AsyncResult()
    task = gevent.spawn(_run, call, outcome)
    try:
        gevent.wait([outcome, interrupt], count=1)
        if not outcome.ready():
            raise CallInterrupted
        return outcome.get()
    finally:
        task.kill()


def _run(call: Callable[[], Result], outcome: AsyncResult) -> None:
    try:
        outcome.set(call())
    except Exception as error:
        # ``outcome.get`` raises it in the caller; uncaught, gevent would also print it.
        outcome.set_exception(error)
