"""Fetches adapter weights from the weight store."""

import time

import pycurl

from fighitch.types import Seconds

_TIMEOUT_SECONDS = 60


def fetch_weights(
    store_url: str, source: str, *, seconds_without_store: Seconds
) -> str:
    """Fetches the weights of an adapter and discards them.

    Args:
        store_url: URL of the weight store; if empty, the fetch only waits.
        source: Path of the weights in the store.
        seconds_without_store: Duration of the wait without a store.

    Returns:
        The reason for a failure, or an empty string on success.
    """
    if not store_url:
        time.sleep(seconds_without_store)
        return ""
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, f"{store_url.rstrip('/')}/{source.lstrip('/')}")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT, _TIMEOUT_SECONDS)
        curl.setopt(pycurl.WRITEFUNCTION, len)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        return f"weight store {store_url}: {error.args[-1]}"
    finally:
        curl.close()
    return "" if status == 200 else f"weight store {store_url} returned {status}"
