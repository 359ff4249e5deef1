"""Shared helpers of the tests: servers on chosen ports and plain HTTP calls."""

import http.client
import json
import time
from contextlib import contextmanager

TIMEOUT = 10


def started(test, stand_in):
    """Starts a stand-in and stops it when the test or its class ends."""
    stand_in.start()
    add = test.addClassCleanup if isinstance(test, type) else test.addCleanup
    add(stand_in.stop)
    return stand_in


@contextmanager
def opened(port, method, path, body=None, headers=None):
    """Sends a request and yields the response, still unread."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT)
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, body=data, headers=headers or {})
        # The socket stays open until the response is closed too.
        with connection.getresponse() as response:
            yield response
    finally:
        connection.close()


def call(port, method, path, body=None, headers=None):
    """Returns status and decoded body of an answer."""
    with opened(port, method, path, body, headers) as response:
        data = response.read()
        is_json = response.headers.get_content_type() == "application/json"
        return response.status, json.loads(data) if is_json else data


def read_events(response):
    """Iterates over the ``data`` fields of a stream of server-sent events."""
    while line := response.readline():
        if line.startswith(b"data: "):
            yield line.removeprefix(b"data: ").strip().decode()


def wait_until(condition):
    """Waits for what another thread will do; the time limit only ends a hang."""
    end = time.monotonic() + TIMEOUT
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"the condition did not hold within {TIMEOUT} s")
        time.sleep(0.001)
