"""How the engine fetches weights from the weight store."""

import time

import pycurl

from fighitch.types import Seconds

_TIMEOUT_SECONDS = 60


def fetch(store: str, source: str, *, seconds_without_store: Seconds) -> str:
    """Fetches the weights of an adapter and discards them.

    Args:
        store: URL of the weight store; empty to only wait.
        source: Where the store holds the weights.
        seconds_without_store: How long to wait if there is no store.

    Returns:
        Why the fetch failed; empty if it succeeded.
    """
    if not store:
        time.sleep(seconds_without_store)
        return ""
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, f"{store.rstrip('/')}/{source.lstrip('/')}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT, _TIMEOUT_SECONDS)
        curl.setopt(pycurl.WRITEFUNCTION, len)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        return f"weight store {store}: {error.args[-1]}"
    finally:
        curl.close()
    return "" if status == 200 else f"weight store {store} answered {status}"
