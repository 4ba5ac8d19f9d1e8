"""Calls from worker threads to the event loop, done in one iteration if they await nothing.

`asyncio.run_coroutine_threadsafe` takes three iterations: one to create a task, one to run it and
one to transfer its result. An iteration may copy dozens of streams, and calls submitted meanwhile
wait for its end. So code that does much work in one iteration calls `run_next` in between.
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
    """Coroutine to run on the loop, and the future of its result."""

    work: Coroutine[Any, Any, Any]
    outcome: Future = field(factory=Future)


@define(eq=False)
class LoopCallQueue:
    """Calls that the loop has not started, oldest first."""

    loop: asyncio.AbstractEventLoop
    pending: deque[LoopCall] = field(factory=deque)

    def submit(self, work: Coroutine[Any, Any, Any]) -> Future:
        """Submit a coroutine from any thread; return the future of its result.

        Until its first wait it runs outside of a task, where `asyncio.timeout` cannot be used.
        """
        call = LoopCall(work)
        self.pending.append(call)
        self.loop.call_soon_threadsafe(self.run_next)
        return call.outcome

    def run_next(self) -> None:
        """Run the oldest pending call, if any; must be called on the loop."""
        if self.pending:
            _start_call(self.loop, self.pending.popleft())


def _start_call(loop: asyncio.AbstractEventLoop, call: LoopCall) -> None:
    """Run a call until it ends or first waits; from there it continues as a task."""
    outcome = call.outcome
    try:
        awaited = call.work.send(None)
    except StopIteration as stop:
        outcome.set_result(stop.value)
    except asyncio.CancelledError:
        outcome.cancel()
    except Exception as error:
        outcome.set_exception(error)
    else:
        task = loop.create_task(_resume(call.work, awaited))
        task.add_done_callback(functools.partial(_transfer_result, outcome))


@coroutine
def _resume(work: Coroutine[Any, Any, Any], awaited: Any) -> Generator[Any, Any, Any]:
    """Resume a coroutine that waits for `awaited`, and run it to its end."""
    while True:
        try:
            sent = yield awaited
        except BaseException as error:
            step = functools.partial(work.throw, error)
        else:
            step = functools.partial(work.send, sent)
        try:
            awaited = step()
        except StopIteration as stop:
            return stop.value


def _transfer_result(outcome: Future, task: asyncio.Task) -> None:
    """Copy a task's result, error or cancellation to the future that a thread waits for."""
    if task.cancelled():
        outcome.cancel()
        return
    error = task.exception()
    if error is None:
        outcome.set_result(task.result())
    else:
        outcome.set_exception(error)
