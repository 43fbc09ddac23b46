"""Calls that another task can interrupt."""

from collections.abc import Callable
from typing import TypeVar

import gevent
from gevent.event import AsyncResult, Event

Result = TypeVar("Result")


class CallInterrupted(Exception):
    """Say that a call was given up because its caller has to do something else."""


def call_interruptible(interrupt: Event, call: Callable[[], Result]) -> Result:
    """Return the result of a call; raise ``CallInterrupted`` if the event is set."""
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
        # The caller raises it again; an uncaught one would be printed as well.
        outcome.set_exception(error)
