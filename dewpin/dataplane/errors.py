"""Base class of the exceptions that the modules of the data plane raise among themselves.

::

    DataplaneError
    ├── http11.request_parsing.MalformedMessageError         also a ValueError
    ├── http11.messages.IncompleteBodyError
    ├── ingress.client_connection.ClientDisconnectedError    also a ConnectionError
    ├── ingress.client_connection.MessageTooLargeError       also a ValueError
    ├── programs.errors.StaleViewError
    ├── upstream.outcome.IncompleteResponseError
    └── upstream.receiver_socket.RequestNotSentError         also a ConnectionError

An error that is reported to a client is a `cluster.errors.TierError` instead; those of the stores' client are
`programs.errors.ProgramStoreError`s.
"""


class DataplaneError(Exception):
    """An error that one module of the data plane raises and another one handles."""
