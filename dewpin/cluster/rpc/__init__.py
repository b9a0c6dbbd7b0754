"""Remote calls between dewpin's processes: netstrings of JSON over TCP, many concurrent calls on one connection.

A message is an object with a `type`; a reply of type `error` raises `RpcError` at the caller. The frames around
messages are those of `rpc_frames`.

Each connection numbers its calls and never uses a number twice, so the reply to a call that was abandoned, however
late, matches no pending call and is dropped. A call that failed may have been executed: only calls to idempotent
handlers may be repeated.

`server` answers calls, `client` makes them, `connection` has what both do with a socket, `errors` the error and its
message.
"""

from ..rpc_frames import Message
from .client import RpcClient
from .connection import split_address
from .errors import RpcError, error_message
from .server import Handler, RpcServer

__all__ = ["Handler", "Message", "RpcClient", "RpcError", "RpcServer", "error_message", "split_address"]
