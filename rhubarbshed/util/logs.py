"""Logs as one line of key=value pairs for each event."""

import json
import logging
import re
import sys
from collections.abc import Iterable

PLAIN_VALUE = re.compile(r"[^\s=\"\\\x00-\x1f]+")
PAIR = re.compile(r"([A-Za-z_][\w.]*)=(\"(?:[^\"\\]|\\.)*\"|[^\s\"]*)(?:\s+|$)")


def format_pairs(pairs: Iterable[tuple[str, object]]) -> str:
    """Return pairs as text, with values quoted where they would be ambiguous."""
    return " ".join(f"{key}={quote_value(value)}" for key, value in pairs)


def quote_value(value: object) -> str:
    """Return a value as text, as a JSON string if it has spaces, quotes or unprintable characters.

    Ids and names come from callers and other writers.
    """
    text = f"{value:g}" if isinstance(value, float) else str(value)
    is_plain = text.isprintable() and PLAIN_VALUE.fullmatch(text)
    return text if is_plain else json.dumps(text).replace("\x7f", "\\u007f")


def parse_pairs(line: str) -> tuple[tuple[str, str], ...]:
    """Return the pairs of a log line; text that is not a pair is skipped."""
    return tuple((found[1], _unquote(found[2])) for found in PAIR.finditer(line.strip()))


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except ValueError:
        return text


def log_event(logger: logging.Logger, level: int, event: str, **fields: object) -> None:
    """Log an event with its fields."""
    logger.log(level, event, extra={"pairs": fields})


class PairFormatter(logging.Formatter):
    """Formatter of one line per record; a plain message becomes the event's name or `message`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        pairs: list[tuple[str, object]] = [
            ("at", self.formatTime(record, "%Y-%m-%dT%H:%M:%S") + f".{int(record.msecs):03d}"),
            ("level", record.levelname.lower()),
            ("logger", record.name),
        ]
        fields = getattr(record, "pairs", None)
        message = record.getMessage()
        if fields is not None:
            pairs += [("event", message), *fields.items()]
        elif message.startswith("event="):
            pairs += parse_pairs(message)
        else:
            pairs += [("event", "message"), ("message", message)]
        if record.exc_info:
            pairs.append(("error", self.formatException(record.exc_info)))
        return format_pairs(pairs)


def start_logging(level: str) -> None:
    """Send logs of at least this level to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(PairFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
