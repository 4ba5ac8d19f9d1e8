"""Calls of worker threads to the event loop, done in one iteration of it if nothing is awaited.

`asyncio.run_coroutine_threadsafe` takes three iterations: one to make a task, one to run it, and
one to pass its result on. An iteration may copy dozens of streams before the calls submitted
meanwhile, so code with much work in one iteration calls `run_next` in between.
"""

import asyncio
import functools
from collections import deque
from collections.abc import Coroutine, Generator
from concurrent.futures import Future
from types import coroutine
from typing import Any

from attrs import define, field, frozen


@frozen
class LoopCall:
    """A coroutine to run on the loop, and the future of its result."""

    work: Coroutine[Any, Any, Any]
    outcome: Future = field(factory=Future)


@define(eq=False)
class LoopCallQueue:
    """Queue of the calls that the loop has not started, oldest first."""

    loop: asyncio.AbstractEventLoop
    pending: deque[LoopCall] = field(factory=deque)

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future:
        """Schedule a coroutine on the loop, from any thread, and return the future of its result.

        Up to its first wait it runs outside a task, so `asyncio.timeout` does not work there.
        """
        call = LoopCall(work)
        self.pending.append(call)
        self.loop.call_soon_threadsafe(self.run_next)
        return call.outcome

    def run_next(self) -> None:
        """Run the oldest call, if there is one; on the loop only."""
        if self.pending:
            _start(self.loop, self.pending.popleft())


def _start(loop: asyncio.AbstractEventLoop, call: LoopCall) -> None:
    """Run a call to its end at once, or up to its first wait and from there as a task."""
    outcome = call.outcome
    try:
        awaited = call.work.send(None)
    except StopIteration as ended:
        outcome.set_result(ended.value)
    except asyncio.CancelledError:
        outcome.cancel()
    except Exception as error:
        outcome.set_exception(error)
    else:
        task = loop.create_task(_continue(call.work, awaited))
        task.add_done_callback(functools.partial(_transfer_result, outcome))


@coroutine
def _continue(work: Coroutine[Any, Any, Any], awaited: Any) -> Generator[Any, Any, Any]:
    """Continue a coroutine that has started and awaits something."""
    while True:
        try:
            sent_value = yield awaited
        except BaseException as error:
            step = functools.partial(work.throw, error)
        else:
            step = functools.partial(work.send, sent_value)
        try:
            awaited = step()
        except StopIteration as ended:
            return ended.value


def _transfer_result(outcome: Future, task: asyncio.Task) -> None:
    """Pass a task's result on to the thread that waits for it."""
    if task.cancelled():
        outcome.cancel()
        return
    error = task.exception()
    if error is None:
        outcome.set_result(task.result())
    else:
        outcome.set_exception(error)
