# SPDX-License-Identifier: BSD-3-Clause
"""A server for the scripts of the second review, in a process of its own.

    python review/server_2.py JSON

Prints its address, then a line for each request that it runs and each answer that it has ended.
``JSON`` names its options: ``name`` is its id, ``port`` where it listens (0: a free one),
``event_ms`` the time between two events of a stream, ``stride`` the tokens of one, ``work_ms`` the
time of a plain request and ``body_bytes`` the size of its answer. ``framing`` is ``chunks``,
``length`` or ``connection`` (an answer without a length, which ends with its connection).
``rejects_above_bytes`` is the size of bodies above which the server rejects a request before it has
read it, as long as these are no more than ``reject_share`` of its answers; 0 for none.
``lose_share`` of the plain requests that it runs lose their answers: their connections are reset.
SIGUSR1 begins that, SIGUSR2 ends it.
"""

import asyncio
import json
import random
import signal
import socket
import struct
import sys

OPTIONS = {
    "name": "s",
    "port": 0,
    "event_ms": 100,
    "framing": "chunks",
    "work_ms": 50,
    "body_bytes": 800,
    "stride": 5,
    "rejects_above_bytes": 0,
    "reject_share": 0.0,
    "lose_share": 0.0,
}


def tell(**fields) -> None:
    """Print a line."""
    print(json.dumps(fields), flush=True)


async def read_head(reader):
    """Return first line and headers of a request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def reset(writer) -> None:
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """Serves requests on all connections."""

    def __init__(self, options: dict):
        self._options = options
        self._answers = 0
        self._rejections = 0
        self._rng = random.Random(options["name"])
        self.loses = False

    def _rejects(self, length: int) -> bool:
        """Return whether a request is rejected before its body is in."""
        limit = self._options["rejects_above_bytes"]
        share = self._options["reject_share"]
        return 0 < limit < length and self._rejections + 1 <= share * (self._answers + 1)

    async def serve(self, reader, writer) -> None:
        """Serve the requests of one connection."""
        try:
            while (request := await read_head(reader)) is not None:
                length = int(request[1].get("content-length", 0))
                if self._rejects(length):
                    await self._reject(request[1], writer)
                    await reader.readexactly(length)
                    continue
                await reader.readexactly(length)
                if not await self._run(request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _reject(self, headers: dict, writer) -> None:
        """Reject a request before its body is in; the body is read afterwards."""
        request_id = headers.get("x-request-id", "")
        head = f"HTTP/1.1 503 X\r\nX-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\n"
        writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
        await writer.drain()
        self._rejections += 1
        self._answers += 1
        tell(rejects=request_id, of_answers=self._answers)

    async def _run(self, request, writer) -> bool:
        first, headers = request
        request_id = headers.get("x-request-id", "")
        common = f"X-Request-Id: {request_id}\r\n"
        if headers.get("x-expect-instance", self._options["name"]) != self._options["name"]:
            writer.write(f"HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        tell(runs=request_id, last_event_id=headers.get("last-event-id"), line=first)
        common += f"X-Response-Seal: seal-{self._options['name']}\r\n"
        if "x-token-count" in headers:
            return await self._stream(headers, common, writer)
        await asyncio.sleep(self._options["work_ms"] / 1_000)
        if self.loses and self._rng.random() < self._options["lose_share"]:
            self._answers += 1
            tell(loses_answer_of=request_id)
            reset(writer)
            return False
        answer = b"d" * self._options["body_bytes"]
        return await self._send_whole(common, answer, request_id, first, writer)

    async def _send_whole(self, common, answer: bytes, request_id: str, first: str, writer) -> bool:
        framed = self._options["framing"] != "connection"
        framing = f"Content-Length: {len(answer)}\r\n" if framed else "Connection: close\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{common}{framing}\r\n".encode())
        if not first.startswith("HEAD "):
            writer.write(answer)
        await writer.drain()
        self._answers += 1
        tell(ended=request_id, bytes=len(answer))
        return framed

    async def _stream(self, headers: dict, common: str, writer) -> bool:
        """Write a stream, one event after the other."""
        request_id = headers["x-request-id"]
        tokens_out = int(headers["x-token-count"].partition(",")[2])
        last = max(1, tokens_out // self._options["stride"])
        first = int(headers.get("last-event-id") or 0) + 1
        chunked = self._options["framing"] == "chunks"
        framing = "Transfer-Encoding: chunked\r\n" if chunked else "Connection: close\r\n"
        head = f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\n{framing}\r\n"
        writer.write(head.encode())
        for number in range(first, last + 1):
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event) if chunked else event)
            await writer.drain()
            if number < last:
                await asyncio.sleep(self._options["event_ms"] / 1_000)
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        tell(ended=request_id, last_event=last)
        return chunked


async def main() -> None:
    """Serve until the process is ended."""
    options = {**OPTIONS, **json.loads(sys.argv[1])}
    server = Server(options)
    signalled = asyncio.get_running_loop().add_signal_handler
    signalled(signal.SIGUSR1, setattr, server, "loses", True)
    signalled(signal.SIGUSR2, setattr, server, "loses", False)
    listening = await asyncio.start_server(server.serve, "127.0.0.1", options["port"])
    host, port = listening.sockets[0].getsockname()
    tell(address=f"{host}:{port}")
    await listening.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
