"""Questions of worker threads to the loop, answered in one of its passes where nothing is awaited.

`asyncio.run_coroutine_threadsafe` takes three passes: one to make a task, one to run it, and one to
hand its result over. A pass may have dozens of streams to copy, and goes before the questions that
came in meanwhile; so whoever has many things to do in a pass calls `run_next` in between.
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
    """Hold a coroutine for the loop and the future of its result."""

    work: Coroutine[Any, Any, Any]
    outcome: Future = field(factory=Future)


@define(eq=False)
class LoopCallQueue:
    """Hold the questions that the loop has not begun with, oldest first."""

    loop: asyncio.AbstractEventLoop
    pending: deque[LoopCall] = field(factory=deque)

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future:
        """Have the loop run a coroutine, from any thread, and return the future of its result.

        Up to where it first waits it runs outside of a task: no `asyncio.timeout` there.
        """
        call = LoopCall(work)
        self.pending.append(call)
        self.loop.call_soon_threadsafe(self.run_next)
        return call.outcome

    def run_next(self) -> None:
        """Answer the oldest question, if there is one; on the loop only."""
        if self.pending:
            _begin(self.loop, self.pending.popleft())


def _begin(loop: asyncio.AbstractEventLoop, call: LoopCall) -> None:
    """Run a question to its end at once, or to where it waits and from there as a task."""
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
        task = loop.create_task(_go_on(call.work, awaited))
        task.add_done_callback(functools.partial(_hand_over, outcome))


@coroutine
def _go_on(work: Coroutine[Any, Any, Any], awaited: Any) -> Generator[Any, Any, Any]:
    """Go on with a coroutine that waits."""
    while True:
        try:
            given = yield awaited
        except BaseException as error:
            step = functools.partial(work.throw, error)
        else:
            step = functools.partial(work.send, given)
        try:
            awaited = step()
        except StopIteration as ended:
            return ended.value


def _hand_over(outcome: Future, task: asyncio.Task) -> None:
    """Hand a task's end over to the thread that waits for it."""
    if task.cancelled():
        outcome.cancel()
        return
    error = task.exception()
    if error is None:
        outcome.set_result(task.result())
    else:
        outcome.set_exception(error)
