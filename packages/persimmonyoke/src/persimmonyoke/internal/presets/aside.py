"""Run the parsing of large texts outside the event loop."""

from collections.abc import Callable, Mapping
from typing import ParamSpec, TypeVar

import gevent

MIN_THREAD_CHARACTERS = 32 * 1024
"""Shorter texts are parsed in a few milliseconds, less than an inter-token gap."""

ParamT = ParamSpec("ParamT")
ResultT = TypeVar("ResultT")


def run_in_thread_if_large(
    texts: Mapping[str, str],
    function: Callable[ParamT, ResultT],
    *args: ParamT.args,
    **options: ParamT.kwargs,
) -> ResultT:
    """Call a function, in a native thread if the texts are large.

    A base preset for 1,900 workspaces takes 0.2 s to parse, which would stall all
    streams of the node. In a thread, parsing shares the interpreter with the event
    loop. Other tasks run meanwhile, so the caller must re-check its state afterwards.
    """
    if sum(map(len, texts.values())) < MIN_THREAD_CHARACTERS:
        return function(*args, **options)
    return gevent.get_hub().threadpool.apply(function, args, options)
