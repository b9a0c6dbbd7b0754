"""Base class of the exceptions that are raised and handled within the data plane.

::

    DataplaneError
    ├── http11.request_parsing.MalformedMessageError         also a ValueError
    ├── http11.messages.IncompleteBodyError
    ├── ingress.client_connection.ClientDisconnectedError    also a ConnectionError
    ├── ingress.client_connection.MessageTooLargeError       also a ValueError
    ├── programs.errors.StaleViewError
    ├── upstream.outcome.IncompleteResponseError
    └── upstream.receiver_socket.RequestNotSentError         also a ConnectionError

Errors that are reported to clients are subclasses of `cluster.errors.TierError` instead; those of the store client are
subclasses of `programs.errors.ProgramStoreError`.
"""


class DataplaneError(Exception):
    """An exception that one module of the data plane raises and another one handles."""
