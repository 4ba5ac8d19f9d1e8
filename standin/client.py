"""HTTP client of the stand-ins, one request per connection."""

import asyncio
from urllib.parse import urlsplit


async def fetch(url: str, headers: dict[str, str]) -> int:
    """Send a GET request and return the status, or 0 if no answer was received."""
    parts = urlsplit(url)
    target = f"{parts.path}?{parts.query}" if parts.query else parts.path
    lines = [f"GET {target} HTTP/1.1", f"Host: {parts.netloc}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    try:
        reader, writer = await asyncio.open_connection(parts.hostname, parts.port)
    except OSError:
        return 0
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        answer = await reader.read()
        return int(answer.split(b" ", 2)[1]) if answer else 0
    except (OSError, IndexError, ValueError):
        return 0
    finally:
        writer.close()
