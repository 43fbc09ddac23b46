"""Sending of orders over connections that end with the answer or the deadline."""

from http.client import HTTPException

from gevent import Timeout
from urllib3.exceptions import HTTPError

from persimmonyoke.errors import ProtocolError
from persimmonyoke.internal.upstreams import wire
from persimmonyoke.internal.upstreams.api import (
    Order,
    OrderAccepted,
    OrderOutcome,
    OrderRefused,
    OrderUnknown,
)
from persimmonyoke.internal.upstreams.connections import (
    UpstreamConnection,
    discarding_socket_options,
    split_address,
)

ORDER_HEADERS = {"Content-Type": "application/json", "Connection": "close"}


def send_order(address: str, order: Order, *, timeout_s: float) -> OrderOutcome:
    """Send an order and return its outcome; never raises for network faults.

    The kernel discards unsent data when the connection is closed or when data has been
    unacknowledged for ``timeout_s``, so an order cannot arrive later through a
    retransmission by this host.
    """
    if timeout_s <= 0:
        return OrderRefused(order.order_id, "not sent: no time is left")
    host, port = split_address(address)
    options = discarding_socket_options(timeout_s)
    connection = UpstreamConnection(host, port, socket_options=options)
    try:
        with Timeout(timeout_s, TimeoutError("order timed out")):
            return _exchange(connection, order, timeout_s)
    except (OSError, HTTPException, HTTPError, ProtocolError) as error:
        if connection.written:
            return OrderUnknown(order.order_id, f"no answer: {error!r}")
        return OrderRefused(order.order_id, f"not sent: {error!r}")
    finally:
        connection.close()


def _exchange(
    connection: UpstreamConnection, order: Order, timeout_s: float
) -> OrderOutcome:
    body = wire.encode_order(order)
    connection.start("POST", "/orders", body, ORDER_HEADERS, timeout_s=timeout_s)
    response = connection.read_head()
    data = connection.read_body(response)
    if response.status == 200:
        if wire.decode_object(data).get("order_id") != order.order_id:
            return OrderUnknown(order.order_id, "answer names another order")
        return OrderAccepted(order.order_id)
    text = data[:200].decode("utf-8", "replace")
    if response.status == 409:
        return OrderRefused(order.order_id, text)
    return OrderUnknown(order.order_id, f"status {response.status}: {text}")
