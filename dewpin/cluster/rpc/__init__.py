"""Remote procedure calls between dewpin processes: JSON netstrings over TCP, multiplexed on one connection per peer.

A message is an object with a `type`; a reply of type `error` raises `RpcError` at the caller. `rpc_frames` defines the
frames that messages are sent in.

Each connection numbers its calls and never reuses a number, so a late reply to an abandoned call matches no pending
call and is dropped. A call that failed may have been executed, so only calls to idempotent handlers may be retried.

`server` handles calls, `client` makes them, `connection` has the socket handling of both, `connection_table` the limit
of a server's connections, `errors` the exception and the error message.
"""

from ..rpc_frames import Message
from .client import RpcClient
from .connection import split_address
from .connection_table import internal_connection_limit
from .errors import RpcError, error_message
from .server import Handler, RpcServer

__all__ = [
    "Handler",
    "Message",
    "RpcClient",
    "RpcError",
    "RpcServer",
    "error_message",
    "internal_connection_limit",
    "split_address",
]
