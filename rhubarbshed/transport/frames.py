"""Length-prefixed frames on asyncio streams, and the handshake that opens a connection."""

import asyncio
import secrets
import ssl

from attrs import field, frozen
from returns.result import Failure, Result, Success

from rhubarbshed.protocol.events import Stamp
from rhubarbshed.protocol.members import InstanceInfo
from rhubarbshed.protocol.peers import (
    NONCE_BYTES,
    PROTOCOL_VERSION,
    Challenge,
    Envelope,
    Frame,
    Hello,
    Welcome,
    check_proof,
    make_proof,
    pack_envelope,
    unpack_envelope,
)
from rhubarbshed.util.settings import TlsSettings

LENGTH_BYTES = 4
NO_STAMP = Stamp(0, 0)
DIALER = "dialer"
LISTENER = "listener"


@frozen
class Identity:
    """Identity and peer token of an instance, with size limits in bytes for received frames.

    `hello_bytes_max` holds for the frames of a handshake.
    """

    info: InstanceInfo
    token: str = field(repr=False)
    hello_bytes_max: int
    frame_bytes_max: int


async def read_frame(reader: asyncio.StreamReader, bytes_max: int) -> Result[bytes, str]:
    """Read one frame without its length; the body of one above `bytes_max` is not read."""
    try:
        length = int.from_bytes(await reader.readexactly(LENGTH_BYTES))
        if not 0 < length <= bytes_max:
            return Failure(f"frame length of {length} bytes is not within 1 to {bytes_max}")
        return Success(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, OSError) as error:
        return Failure(f"closed ({type(error).__name__})")


def frame_bytes(envelope: Envelope) -> bytes:
    """Encode an envelope, prefixed with its length."""
    data = pack_envelope(envelope)
    return len(data).to_bytes(LENGTH_BYTES) + data


async def accept_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Identity
) -> Result[InstanceInfo, str]:
    """Challenge the dialer, check its proof, send a proof; return the dialer's identity."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    _write(writer, Challenge(nonce))
    answer = await _read(reader, Hello, own)
    if isinstance(answer, Failure):
        return answer
    hello = answer.unwrap()
    nonces = (nonce, hello.nonce)
    if hello.protocol != PROTOCOL_VERSION:
        return Failure(f"protocol {hello.protocol}, not {PROTOCOL_VERSION}")
    if not check_proof(hello.proof, own.token, DIALER, hello.info, nonces):
        return Failure("invalid proof")
    _write(writer, Welcome(own.info, make_proof(own.token, LISTENER, own.info, nonces)))
    return Success(hello.info)


async def start_handshake(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, own: Identity
) -> Result[InstanceInfo, str]:
    """Answer the challenge of a listener, check its proof and return its identity."""
    challenge = await _read(reader, Challenge, own)
    if isinstance(challenge, Failure):
        return challenge
    nonces = (challenge.unwrap().nonce, secrets.token_bytes(NONCE_BYTES))
    proof = make_proof(own.token, DIALER, own.info, nonces)
    _write(writer, Hello(own.info, nonces[1], proof))
    answer = await _read(reader, Welcome, own)
    if isinstance(answer, Failure):
        return answer
    welcome = answer.unwrap()
    if not check_proof(welcome.proof, own.token, LISTENER, welcome.info, nonces):
        return Failure("invalid proof")
    return Success(welcome.info)


def _write(writer: asyncio.StreamWriter, frame: Frame) -> None:
    writer.write(frame_bytes(Envelope(frame, NO_STAMP)))


async def _read(reader: asyncio.StreamReader, kind: type, own: Identity) -> Result[Frame, str]:
    data = await read_frame(reader, own.hello_bytes_max)
    envelope = data.bind(lambda raw: unpack_envelope(raw, ""))
    if isinstance(envelope, Failure):
        return envelope
    frame = envelope.unwrap().frame
    if not isinstance(frame, kind):
        return Failure(f"received {type(frame).__name__}, expected {kind.__name__}")
    return Success(frame)


def make_server_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a listener that requires client certificates; None without TLS."""
    return _make_tls_context(tls, ssl.Purpose.CLIENT_AUTH)


def make_client_context(tls: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a dialer; None without TLS.

    Peers are dialled by IP address, so they are authenticated by the certificate authority and the
    proof of the handshake, not by the host name.
    """
    return _make_tls_context(tls, ssl.Purpose.SERVER_AUTH)


def _make_tls_context(tls: TlsSettings, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    if not tls.certificate:
        return None
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
