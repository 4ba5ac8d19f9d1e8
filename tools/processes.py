"""Start stand-ins and instances as processes, with bounded waits, and stop them by process id."""

import itertools
import os
import random
import re
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path

import urllib3
from attrs import define

READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02
READY_LINE = re.compile(rb"event=ready port=(\d+)")


@define(eq=False)
class Process:
    """Child process; `log` is the file of its log, `asked` whether it was sent SIGTERM."""

    name: str
    popen: subprocess.Popen
    url: str
    log: Path
    asked: bool = False

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    @property
    def port(self) -> int:
        """Return the port of `url`."""
        return int(self.url.rsplit(":", 1)[1])

    def ask(self) -> None:
        """Send SIGTERM once, without waiting for the process to end."""
        if not self.asked and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
        self.asked = True

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, kill the process after `timeout_s`, and return its exit code."""
        self.ask()
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.popen.returncode

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.popen.kill()
        self.popen.wait()

    def read_log(self) -> str:
        """Return the contents of the log file."""
        return self.log.read_text(encoding="utf-8", errors="replace")


def start_standin(name: str, *options: str, timeout_s: float = READY_TIMEOUT_S) -> Process:
    """Start `standin.<name>` on a free port and wait until it listens."""
    command = [sys.executable, "-m", f"standin.{name}", "--host", "127.0.0.1", *options]
    log = make_file(f"standin-{name}-", ".log")
    with log.open("wb") as stream:
        popen = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=stream)
    process = Process(name, popen, "", log)
    port = read_port(process, timeout_s)
    process.url = f"http://127.0.0.1:{port}"
    return process


def read_port(process: Process, timeout_s: float) -> int:
    """Return the port that a stand-in prints once it listens."""
    output = process.popen.stdout
    received = b""
    deadline = time.monotonic() + timeout_s
    with selectors.DefaultSelector() as selector:
        selector.register(output, selectors.EVENT_READ)
        while (remaining_s := deadline - time.monotonic()) > 0:
            if not selector.select(remaining_s):
                break
            data = os.read(output.fileno(), 4096)
            received += data
            match = READY_LINE.search(received)
            if match:
                return int(match.group(1))
            if not data:
                break
    process.kill()
    raise RuntimeError(f"{process.name} did not start: {process.read_log()}")


def start_instance(
    settings_text: str,
    url: str,
    ready_path: str = "/ready",
    environment: Mapping[str, str] | None = None,
    timeout_s: float = READY_TIMEOUT_S,
    module: str = "rhubarbshed.daemon",
) -> Process:
    """Start an instance with these settings and wait until it is ready.

    `url` is the base address of its caller port; an empty `ready_path` skips the wait.
    """
    settings = make_file("instance-", ".ini")
    settings.write_text(settings_text, encoding="utf-8")
    log = settings.with_suffix(".log")
    command = [sys.executable, "-m", module, "--settings", str(settings)]
    with log.open("wb") as stream:
        popen = subprocess.Popen(
            command,
            stdout=stream,
            stderr=subprocess.STDOUT,
            env={**os.environ, **(environment or {})},
        )
    process = Process("instance", popen, url, log)
    if ready_path:
        wait_until_answers(process, url + ready_path, timeout_s)
    return process


def wait_until_answers(process: Process, url: str, timeout_s: float) -> None:
    """Wait until a URL answers 200; raise RuntimeError if the process ends or time runs out."""
    http = urllib3.PoolManager(retries=False, timeout=1.0)

    def is_answering() -> bool:
        if process.popen.poll() is not None:
            raise RuntimeError(f"{process.name} ended: {process.read_log()}")
        try:
            return http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    if not wait_until(is_answering, timeout_s):
        process.kill()
        raise RuntimeError(f"{process.name} was not ready: {process.read_log()}")


def wait_until(is_true: Callable[[], bool], timeout_s: float) -> bool:
    """Wait until a condition is true; return whether it became true within the time."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if is_true():
            return True
        time.sleep(POLL_INTERVAL_S)
    return is_true()


def stop_all(processes: Iterable[Process], timeout_s: float = STOP_TIMEOUT_S) -> list[int]:
    """Send SIGTERM to all processes, then wait for each; return their exit codes."""
    processes = list(processes)
    for process in processes:
        process.ask()
    deadline = time.monotonic() + timeout_s
    return [process.stop(max(0.1, deadline - time.monotonic())) for process in processes]


FIRST_PORT, PORT_COUNT = 10_000, 22_000
PORT_OFFSETS: dict[int, Iterator[int]] = {}
"""Port offsets by process id, so that a forked process starts at an offset of its own.

The range lies between the ports of well-known services and the kernel's ephemeral ports.
"""


def find_free_ports(count: int) -> list[int]:
    """Return free loopback ports that a concurrent run is unlikely to choose.

    They lie below the kernel's ephemeral ports and start at an offset drawn from the process id.
    """
    ports: list[int] = []
    first_offset = random.Random(os.getpid()).randrange(PORT_COUNT)
    offsets = PORT_OFFSETS.setdefault(os.getpid(), itertools.count(first_offset))
    while len(ports) < count:
        port = FIRST_PORT + next(offsets) % PORT_COUNT
        try:
            socket.create_server(("127.0.0.1", port), reuse_port=False).close()
        except OSError:
            continue
        ports.append(port)
    return ports


def make_file(prefix: str, suffix: str) -> Path:
    """Create an empty temporary file and return its path."""
    handle, path = tempfile.mkstemp(prefix=prefix, suffix=suffix)
    os.close(handle)
    return Path(path)
