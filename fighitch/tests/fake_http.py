"""Fake HTTP servers for the tests of clients, on loopback and a free port."""

import json
import logging
import socket
import threading
from collections import deque

from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from fighitch.core.http_calls import HttpAnswer, NoAnswer
from fighitch.core.object_api import GROUP_PATH, PLURALS

KINDS = {plural: kind for kind, plural in PLURALS.items()}
DROP_BEFORE_WRITE = "lose before the write"
DROP_AFTER_WRITE = "lose after the write"
# Time that closing a server takes.
_POLL_SECONDS = 0.01

logging.getLogger("werkzeug").setLevel(logging.CRITICAL)


class FakeServer:
    """Serves ``answer(request)`` until it is closed."""

    def __init__(self):
        self.requests = []
        self._server = make_server("127.0.0.1", 0, self._serve, threaded=True)
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(_POLL_SECONDS,), daemon=True
        )
        self._thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self._server.server_port}"

    @property
    def url(self):
        return f"http://{self.address}"

    def close(self):
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def answer(self, request):
        raise NotImplementedError

    def _serve(self, environ, start_response):
        request = Request(environ)
        request.get_data()
        self.requests.append(request)
        return self.answer(request)(environ, start_response)


def as_json(value, status=200, **headers):
    body = json.dumps(value)
    return Response(body, status, headers, mimetype="application/json")


def status_response(status, reason):
    return as_json({"kind": "Status", "code": status, "reason": reason}, status)


def break_connection(request):
    request.environ["werkzeug.socket"].shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError


class FakeObjectApi(FakeServer):
    """An object API in memory.

    ``faults`` holds what happens to the next calls: a status, ``DROP_BEFORE_WRITE``,
    ``DROP_AFTER_WRITE`` or None. ``before_write`` and ``after_write`` are called around
    each write that is not lost before. ``watch_lines`` is the answer to a watch.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.faults = deque()
        self.before_write = self.after_write = lambda: None
        self.watch_lines = []
        super().__init__()

    def put(self, document):
        """Stores a document as another client would."""
        self.revision += 1
        metadata = {**document["metadata"], "resourceVersion": str(self.revision)}
        stored = {**document, "metadata": metadata}
        self.objects[document["kind"], metadata["name"]] = stored
        return stored

    def answer(self, request):
        fault = self.faults.popleft() if self.faults else None
        if isinstance(fault, int):
            answer = status_response(fault, "Refused")
            if fault == 429:
                answer.headers["Retry-After"] = "0"
            return answer
        if fault == DROP_BEFORE_WRITE:
            break_connection(request)
        is_write = request.method != "GET"
        if is_write:
            self.before_write()
        answer = self._answer(request)
        if is_write:
            self.after_write()
        if fault == DROP_AFTER_WRITE:
            break_connection(request)
        return answer

    def _answer(self, request):
        plural, _, name = request.path.removeprefix(f"{GROUP_PATH}/").partition("/")
        if "watch" in request.args:
            if isinstance(self.watch_lines, Response):
                return self.watch_lines
            return Response(line + "\n" for line in self.watch_lines)
        if plural == "resources" or not name and request.method == "GET":
            kinds = [KINDS[plural]] if plural in KINDS else PLURALS
            items = [item for key, item in self.objects.items() if key[0] in kinds]
            version = {"resourceVersion": str(self.revision)}
            return as_json({"kind": "List", "metadata": version, "items": items})
        key = (KINDS[plural], name)
        return getattr(self, f"_{request.method.lower()}")(request, key)

    def _get(self, request, key):
        found = self.objects.get(key)
        return as_json(found) if found else status_response(404, "NotFound")

    def _post(self, request, key):
        document = request.get_json()
        if (key[0], document["metadata"]["name"]) in self.objects:
            return status_response(409, "AlreadyExists")
        return as_json(self.put(document), 201)

    def _put(self, request, key):
        document = request.get_json()
        if key not in self.objects:
            return status_response(404, "NotFound")
        version = self.objects[key]["metadata"]["resourceVersion"]
        if document["metadata"]["resourceVersion"] != version:
            return status_response(409, "Conflict")
        return as_json(self.put(document))

    def _delete(self, request, key):
        if key not in self.objects:
            return status_response(404, "NotFound")
        wanted = request.get_json(silent=True) or {}
        version = wanted.get("preconditions", {}).get("resourceVersion")
        if version not in (None, self.objects[key]["metadata"]["resourceVersion"]):
            return status_response(409, "Conflict")
        self.revision += 1
        return as_json(self.objects.pop(key))


class FakeEntry(FakeServer):
    """The admin address of an entry; ``applies_uploads``: whether it takes changes."""

    def __init__(self, *, applies_uploads=True, status=None, records=()):
        self.applies_uploads = applies_uploads
        self.status = status or {}
        self.records = list(records)
        self.held = {}
        self.uploads = []
        super().__init__()

    def answer(self, request):
        if request.path == "/configuration" and request.method == "POST":
            body = request.get_data()
            signature = request.headers["X-Fighitch-Signature"]
            self.uploads.append((signature, body))
            for document in (
                json.loads(body)["resources"] if self.applies_uploads else ()
            ):
                key = f"{document['kind']}/{document['metadata']['name']}"
                self.held[key] = int(document["metadata"]["resourceVersion"])
            return as_json({"accepted": True}, 202)
        if request.path == "/configuration":
            return as_json({"revision": 0, "resources": self.held})
        if request.path == "/status":
            return as_json(self.status)
        if request.path.startswith("/explain/"):
            return as_json({"records": self.records})
        return status_response(404, "NotFound")


def placement(name, *, replicas=2, labels=None, **metadata):
    """Returns a small configuration object."""
    return {
        "apiVersion": "fighitch.dev/v1",
        "kind": "Placement",
        "metadata": {"name": name, "labels": labels or {}, **metadata},
        "spec": {"targetSelector": "tier=gold", "maxReplicas": replicas},
    }


def placement_at(revision, **changed):
    """Returns the same object as the object API holds it at a revision."""
    return placement("a", resourceVersion=str(revision), **changed)


def answer(status, value=None, **headers):
    """Returns an HTTP answer as a value."""
    return HttpAnswer(status, json.dumps(value or {}).encode(), headers)


LOST, NOT_SENT = NoAnswer(sent=True), NoAnswer(sent=False, detail="refused")
