# SPDX-License-Identifier: BSD-3-Clause
"""A stand-in for the platform: table, objects and instance list over HTTP.

Its faults are switched while it runs, by ``POST /faults``.
"""

import msgspec
from twisted.internet import task
from twisted.web import resource, server

from turnward.coroutines import run_now
from turnward.http import abort_request
from turnward.store import Instance, MemoryObjectStore, MemoryTable, Transaction
from turnward.store.memory import MemoryInstanceList

__all__ = ["Faults", "PlatformStandIn"]


class Faults(msgspec.Struct, kw_only=True):
    """Faults of the platform.

    Attributes
    ----------
    down : bool
        Calls are refused without effect.
    delay_s : float
        Time before each answer.
    lose_answers : int
        How many further writes take effect and are not answered.
    list_lag_s : float
        How late changes of the instance list show.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    list_lag_s: float = 0.0


class _ReadQuery(msgspec.Struct):
    keys: list[str]


class _ScanQuery(msgspec.Struct):
    prefix: str
    after: str = ""
    limit: int = 1000


class _NamesQuery(msgspec.Struct):
    prefix: str


class PlatformStandIn(resource.Resource):
    """The HTTP face over the services in memory."""

    isLeaf = True

    def __init__(self, reactor):
        super().__init__()
        self._reactor = reactor
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.instances = MemoryInstanceList()
        self.faults = Faults()

    def render(self, request):
        """Answer one call; the answer may be late or lost."""
        path = request.path.decode()
        if path == "/faults":
            return self._faults(request)
        if path == "/counts":
            counts = {"reads": self.table.read_count, "writes": self.table.write_count}
            return msgspec.json.encode(counts)
        if self.faults.down:
            request.setResponseCode(503)
            return b"down"
        body = request.content.read()
        if self.faults.delay_s > 0:
            task.deferLater(
                self._reactor, self.faults.delay_s, self._finish_late, request, path, body
            )
            return server.NOT_DONE_YET
        answer = self._answer(request, path, body)
        if answer is None:
            abort_request(request)
            return server.NOT_DONE_YET
        return answer

    def _finish_late(self, request, path, body):
        answer = self._answer(request, path, body)
        if request._disconnected:
            return
        if answer is None:
            abort_request(request)
            return
        request.write(answer)
        request.finish()

    def _answer(self, request, path: str, body: bytes) -> bytes | None:
        try:
            if path.startswith("/table/"):
                return self._table(path, body)
            if path == "/instances":
                return self._instances(request, body)
            return self._objects(request, path, body)
        except (msgspec.DecodeError, msgspec.ValidationError) as failure:
            request.setResponseCode(400)
            return str(failure).encode()

    def _table(self, path: str, body: bytes) -> bytes | None:
        if path == "/table/transact":
            result = self.table.apply(msgspec.json.decode(body, type=Transaction))
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                return None
            return msgspec.json.encode(result)
        if path == "/table/read":
            query = msgspec.json.decode(body, type=_ReadQuery)
            rows = run_now(self.table.read(query.keys))
            return msgspec.json.encode(list(rows.values()))
        query = msgspec.json.decode(body, type=_ScanQuery)
        return msgspec.json.encode(run_now(self.table.scan(query.prefix, query.after, query.limit)))

    def _instances(self, request, body: bytes) -> bytes:
        if request.method == b"PUT":
            entry = msgspec.json.decode(body, type=Instance)
            self._later(self.instances.entries.__setitem__, entry.instance, entry)
        elif request.method == b"DELETE":
            entry = msgspec.json.decode(body, type=Instance)
            self._later(self.instances.entries.pop, entry.instance, None)
        return msgspec.json.encode(run_now(self.instances.instances()))

    def _later(self, change, *arguments):
        self._reactor.callLater(self.faults.list_lag_s, change, *arguments)

    def _objects(self, request, path: str, body: bytes) -> bytes:
        if path == "/object-names":
            query = msgspec.json.decode(body, type=_NamesQuery)
            return msgspec.json.encode(run_now(self.objects.names(query.prefix)))
        name = path.removeprefix("/objects/")
        if request.method == b"PUT":
            run_now(self.objects.put(name, body))
            return b"stored"
        stored = run_now(self.objects.get(name))
        if stored is None:
            request.setResponseCode(404)
        return stored or b""

    def _faults(self, request) -> bytes:
        if request.method == b"POST":
            body = request.content.read()
            try:
                self.faults = msgspec.json.decode(body, type=Faults)
            except (msgspec.DecodeError, msgspec.ValidationError) as failure:
                request.setResponseCode(400)
                return str(failure).encode()
        return msgspec.json.encode(self.faults)
