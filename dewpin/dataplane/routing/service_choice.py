"""The choice of a service for a request on a route that is split over several."""

import random
from collections.abc import Mapping, Sequence

from dewpin.cluster.configuration import Configuration, Route, Service, Share
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.routing.affinity import share_of_key

ReceiversByService = Mapping[str, Sequence[Receiver]]


def choose_service(
    configuration: Configuration,
    route: Route,
    receivers: ReceiversByService,
    sticky_key: str | None,
    randomness: random.Random,
) -> Service:
    """Return a service of the route by weight; requests with the same sticky key get the same service.

    Services without receivers, or whose receivers are all draining, are chosen only if that holds for all services.
    """
    shares = [share for share in route.split if _has_staying_receivers(share, receivers)] or list(route.split)
    drawn = randomness.random() if sticky_key is None else share_of_key(sticky_key)
    remaining_weight = drawn * sum(share.weight for share in shares)
    chosen = shares[-1]
    for share in shares:
        remaining_weight -= share.weight
        if remaining_weight < 0:
            chosen = share
            break
    return configuration.services[chosen.backend]


def _has_staying_receivers(share: Share, receivers: ReceiversByService) -> bool:
    """Return whether a service has receivers that are not draining."""
    return any(not receiver.draining for receiver in receivers.get(share.backend, ()))
