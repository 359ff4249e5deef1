"""Shared test helpers: starting stand-ins and sending HTTP requests to them."""

import http.client
import json
import time
from contextlib import contextmanager

TIMEOUT = 10


def start_stand_in(test, stand_in):
    """Starts a stand-in and registers a cleanup of the test or its class to stop it."""
    stand_in.start()
    add = test.addClassCleanup if isinstance(test, type) else test.addCleanup
    add(stand_in.stop)
    return stand_in


@contextmanager
def open_response(port, method, path, body=None, headers=None):
    """Sends a request and yields the unread response."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=TIMEOUT)
    try:
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, body=data, headers=headers or {})
        # The socket stays open until the response is closed as well.
        with connection.getresponse() as response:
            yield response
    finally:
        connection.close()


def call(port, method, path, body=None, headers=None):
    """Sends a request and returns the status and decoded body of the response."""
    with open_response(port, method, path, body, headers) as response:
        data = response.read()
        is_json = response.headers.get_content_type() == "application/json"
        return response.status, json.loads(data) if is_json else data


def read_events(response):
    """Iterates over the ``data`` fields of a stream of server-sent events."""
    while line := response.readline():
        if line.startswith(b"data: "):
            yield line.removeprefix(b"data: ").strip().decode()


def wait_until(condition):
    """Waits for the effect of another thread; the timeout only guards against hangs."""
    end = time.monotonic() + TIMEOUT
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"the condition did not become true within {TIMEOUT} s")
        time.sleep(0.001)
