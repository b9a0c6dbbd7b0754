"""Selects a service for a request on a route that splits its traffic between services."""

import random
from collections.abc import Mapping, Sequence

from dewpin.cluster.configuration import Configuration, Route, Service, Share
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.routing.affinity import hash_fraction

ReceiversByService = Mapping[str, Sequence[Receiver]]


def choose_service(
    configuration: Configuration,
    route: Route,
    receivers: ReceiversByService,
    sticky_key: str | None,
    randomness: random.Random,
) -> Service:
    """Select a service of the route by weight; requests with the same sticky key get the same service.

    Services without receivers or with only draining ones are selected only if the route has no other service.
    """
    shares = [share for share in route.split if _has_active_receivers(share, receivers)] or list(route.split)
    fraction = randomness.random() if sticky_key is None else hash_fraction(sticky_key)
    remaining_weight = fraction * sum(share.weight for share in shares)
    chosen = shares[-1]
    for share in shares:
        remaining_weight -= share.weight
        if remaining_weight < 0:
            chosen = share
            break
    return configuration.services[chosen.backend]


def _has_active_receivers(share: Share, receivers: ReceiversByService) -> bool:
    """Return whether the service has a receiver that is not draining."""
    return any(not receiver.draining for receiver in receivers.get(share.backend, ()))
