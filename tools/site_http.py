"""Small HTTP/1.1 server and client on asyncio for the stand-ins of the users' platform."""

import asyncio
import contextlib
import json
from urllib.parse import parse_qsl, urlsplit


PIECE_BYTES = 16384


class Drop(Exception):
    """The connection ends without an answer."""


async def read_message(reader):
    """First line, headers in lower case, and body; None at the end of the stream."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if not raw.strip():
            break
        name, _, value = raw.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().split(), headers, body


class Server:
    """Calls handle(method, path, query, headers, document), which returns (status, document)."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()
        self.server = None
        self.port = 0
        self.bytes_per_s = None  # of all answers together; None for no limit
        self.link_free_at = 0.0  # on the loop's clock

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def stop(self):
        if self.server:
            self.server.close()
        self.reset_connections()

    async def send(self, writer, data):
        """At the rate of the link, which all connections share piece by piece."""
        if not self.bytes_per_s:
            writer.write(data)
            await writer.drain()
            return
        loop = asyncio.get_running_loop()
        for i in range(0, len(data), PIECE_BYTES):
            piece = data[i:i + PIECE_BYTES]
            self.link_free_at = max(self.link_free_at, loop.time()) + len(piece) / self.bytes_per_s
            await asyncio.sleep(self.link_free_at - loop.time())
            writer.write(piece)
            await writer.drain()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not message:
                    break
                (method, target, _), headers, body = message
                url = urlsplit(target)
                status, answer = await self.handle(method, url.path, dict(parse_qsl(url.query)), headers,
                                                   json.loads(body) if body else None)
                text = json.dumps(answer).encode()
                await self.send(writer, b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                % (status, len(text)) + text)
        except (Drop, ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(RuntimeError):  # the loop has ended
                writer.transport.abort()


async def call(port, method, path, headers, document, timeout):
    """One call on a connection of its own: (status, headers, document), or None without an answer."""
    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            body = json.dumps(document).encode() if document is not None else b""
            head = "".join("%s: %s\r\n" % item for item in headers.items())
            writer.write(("%s %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n" % (method, path, head, len(body))).encode()
                         + body)
            await writer.drain()
            message = await read_message(reader)
            if not message:
                return None
            (_, status, *_), answer, text = message
            return int(status), answer, json.loads(text) if text else None
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
