"""What a sender knows of the cluster: the configuration, the receivers and the view of the stores.

The cluster agent fills it from its own thread; request threads read it. Each attribute holds an immutable value that
is replaced whole, so a reader takes the value once and works on it without a lock.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from dewpin.cluster.configuration import Configuration
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.store_view import StoreView

_NO_RECEIVERS: Mapping[str, tuple[Receiver, ...]] = MappingProxyType({})


class ClusterState:
    """The newest values that this sender has heard of; `None` until the first one came.

    `senders` is the number of live senders, itself included, or 0 while it is unknown. `is_cut_off` tells whether this
    sender takes itself for cut off from the control plane, `is_current` whether a majority has confirmed the
    configuration within the time that a new one has to come into force.
    """

    __slots__ = ("configuration", "is_current", "is_cut_off", "receivers", "senders", "store_view")

    def __init__(
        self,
        configuration: Configuration | None = None,
        receivers: Mapping[str, tuple[Receiver, ...]] = _NO_RECEIVERS,
        store_view: StoreView | None = None,
        senders: int = 0,
    ) -> None:
        self.configuration = configuration
        self.receivers = receivers
        self.store_view = store_view
        self.senders = senders
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.is_current: Callable[[], bool] = lambda: True
