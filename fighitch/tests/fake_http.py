"""Fake HTTP servers for client tests, on a free loopback port."""

import json
import logging
import socket
import threading
from collections import deque

from werkzeug.serving import make_server
from werkzeug.wrappers import Request, Response

from fighitch.core.http_calls import HttpResponse, NoResponse
from fighitch.core.object_api import GROUP_PATH, PLURALS

KIND_BY_PLURAL = {plural: kind for kind, plural in PLURALS.items()}
DROP_BEFORE_WRITE = "lose before the write"
DROP_AFTER_WRITE = "lose after the write"
# Interval at which a server checks for its shutdown; bounds the time to close it.
_SHUTDOWN_POLL_SECONDS = 0.01

logging.getLogger("werkzeug").setLevel(logging.CRITICAL)


class FakeServer:
    """Serves the result of ``answer(request)`` until it is closed."""

    def __init__(self):
        self.requests = []
        self._server = make_server("127.0.0.1", 0, self._serve, threaded=True)
        self._thread = threading.Thread(
            target=self._server.serve_forever,
            args=(_SHUTDOWN_POLL_SECONDS,),
            daemon=True,
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


def json_response(value, status=200, **headers):
    body = json.dumps(value)
    return Response(body, status, headers, mimetype="application/json")


def status_response(status, reason):
    return json_response({"kind": "Status", "code": status, "reason": reason}, status)


def break_connection(request):
    request.environ["werkzeug.socket"].shutdown(socket.SHUT_RDWR)
    raise ConnectionAbortedError


class FakeObjectApi(FakeServer):
    """An in-memory object API.

    ``faults`` holds the faults of the next calls: a status, ``DROP_BEFORE_WRITE``,
    ``DROP_AFTER_WRITE`` or None. ``before_write`` and ``after_write`` are called around
    each write that is not dropped before it. ``watch_lines`` holds the lines of the
    response to a watch.
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
            kinds = [KIND_BY_PLURAL[plural]] if plural in KIND_BY_PLURAL else PLURALS
            items = [item for key, item in self.objects.items() if key[0] in kinds]
            version = {"resourceVersion": str(self.revision)}
            return json_response({"kind": "List", "metadata": version, "items": items})
        key = (KIND_BY_PLURAL[plural], name)
        return getattr(self, f"_{request.method.lower()}")(request, key)

    def _get(self, request, key):
        found = self.objects.get(key)
        return json_response(found) if found else status_response(404, "NotFound")

    def _post(self, request, key):
        document = request.get_json()
        if (key[0], document["metadata"]["name"]) in self.objects:
            return status_response(409, "AlreadyExists")
        return json_response(self.put(document), 201)

    def _put(self, request, key):
        document = request.get_json()
        if key not in self.objects:
            return status_response(404, "NotFound")
        version = self.objects[key]["metadata"]["resourceVersion"]
        if document["metadata"]["resourceVersion"] != version:
            return status_response(409, "Conflict")
        return json_response(self.put(document))

    def _delete(self, request, key):
        if key not in self.objects:
            return status_response(404, "NotFound")
        wanted = request.get_json(silent=True) or {}
        version = wanted.get("preconditions", {}).get("resourceVersion")
        if version not in (None, self.objects[key]["metadata"]["resourceVersion"]):
            return status_response(409, "Conflict")
        self.revision += 1
        return json_response(self.objects.pop(key))


class FakeEntry(FakeServer):
    """Admin server of an entry; applies uploaded resources if ``applies_uploads``."""

    def __init__(self, *, applies_uploads=True, status=None, records=()):
        self.applies_uploads = applies_uploads
        self.status = status or {}
        self.records = list(records)
        self.revisions = {}
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
                self.revisions[key] = int(document["metadata"]["resourceVersion"])
            return json_response({"accepted": True}, 202)
        if request.path == "/configuration":
            return json_response({"revision": 0, "resources": self.revisions})
        if request.path == "/status":
            return json_response(self.status)
        if request.path.startswith("/explain/"):
            return json_response({"records": self.records})
        return status_response(404, "NotFound")


def placement(name, *, replicas=2, labels=None, **metadata):
    """Returns a minimal configuration object."""
    return {
        "apiVersion": "fighitch.dev/v1",
        "kind": "Placement",
        "metadata": {"name": name, "labels": labels or {}, **metadata},
        "spec": {"targetSelector": "tier=gold", "maxReplicas": replicas},
    }


def placement_at(revision, **changed):
    """Returns the placement ``a`` as the object API stores it at a revision."""
    return placement("a", resourceVersion=str(revision), **changed)


def answer(status, value=None, **headers):
    """Returns an ``HttpResponse`` with a JSON body."""
    return HttpResponse(status, json.dumps(value or {}).encode(), headers)


LOST, NOT_SENT = NoResponse(sent=True), NoResponse(sent=False, detail="refused")
