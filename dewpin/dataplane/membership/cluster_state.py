"""A sender's view of the cluster, as read by request threads.

The cluster agent updates it from its own thread. Each attribute holds an immutable value that is replaced as a whole,
so a reader fetches the value once and needs no lock.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from dewpin.cluster.configuration import Configuration
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.store_view import StoreView

_NO_RECEIVERS: Mapping[str, tuple[Receiver, ...]] = MappingProxyType({})


class ClusterState:
    """The latest values that this sender has received.

    configuration: the configuration in effect; None until one has been received.
    receivers: the known receivers, by service name.
    store_view: the latest store view with members; None until one has been received.
    sender_count: number of live senders, including this one; 0 if it is unknown.
    is_cut_off: returns whether this sender considers itself cut off from the control plane.
    is_current: returns whether a majority has confirmed the configuration within the time limit for applying a change.
    """

    __slots__ = ("configuration", "is_current", "is_cut_off", "receivers", "sender_count", "store_view")

    def __init__(
        self,
        configuration: Configuration | None = None,
        receivers: Mapping[str, tuple[Receiver, ...]] = _NO_RECEIVERS,
        store_view: StoreView | None = None,
        sender_count: int = 0,
    ) -> None:
        self.configuration = configuration
        self.receivers = receivers
        self.store_view = store_view
        self.sender_count = sender_count
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.is_current: Callable[[], bool] = lambda: True
