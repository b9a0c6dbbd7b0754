"""What a sender knows of the cluster, as request threads read it.

The cluster agent updates it from its own thread. Each attribute holds an immutable value that is replaced as a whole,
so a reader takes the value once and works on it without a lock.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from dewpin.cluster.configuration import Configuration
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.store_view import StoreView

_NO_RECEIVERS: Mapping[str, tuple[Receiver, ...]] = MappingProxyType({})


class ClusterState:
    """The newest values that this sender has received.

    configuration: None until one has been received.
    receivers: by the name of their service.
    store_view: None until one with members has been received.
    sender_count: number of live senders, this one included; 0 while it is unknown.
    is_cut_off: returns whether this sender considers itself cut off from the control plane.
    is_current: returns whether a majority has confirmed the configuration within the time that a new one has to come
        into force.
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
