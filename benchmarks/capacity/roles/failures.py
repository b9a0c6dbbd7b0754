"""Failures on paper: what is lost, for how long, and the traffic of repair."""

from __future__ import annotations

from math import comb

from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain

SECONDS_A_DAY = 86_400
VIEW = "`dewpin/controlplane` (view of stores)"


def majority_in_one_zone(stores: int, zones: int, replicas: int) -> float:
    """Share of programs with a majority of their replicas in one given zone, when placement does not see zones."""
    inside = stores // zones
    majority = replicas // 2 + 1
    hits = sum(comb(inside, k) * comb(stores - inside, replicas - k) for k in range(majority, replicas + 1))
    return hits / comb(stores, replicas)


def snapshot(context: Context) -> Estimate:
    """Bytes that a starting sender asks for: the configuration and the list of receivers."""
    return context.at("configuration-bytes", context.routes) + context.at("receiver-bytes", context.target.receivers)


def rows(context: Context) -> list[Row]:
    """All rows about failures."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    held = target.programs * context.history_bytes * assumed.replicas
    share = held / stores
    majority = assumed.replicas // 2 + 1
    inside = stores // target.zones
    senders_a_region = target.senders / target.regions
    repair_s = share * majority / assumed.repair_bytes_per_s
    return [
        context.row(
            "a sender that is lost or frozen is known",
            f"a lease of {plain(target.change_in_force_s)} s runs out",
            lambda: target.change_in_force_s,
            "s",
            "`dewpin/controlplane` (leases)",
        ),
        context.row(
            "streams broken by a lost sender",
            "streams at once of one sender",
            lambda: context.streams_a_sender,
            "",
            "clients retry; resumable streams go on elsewhere",
        ),
        context.row(
            "streams broken by the losses and restarts of a day, without draining",
            f"({target.failures_a_day} + {target.restarts_a_day}) × streams of a sender",
            lambda: (target.failures_a_day + target.restarts_a_day) * context.streams_a_sender,
            "1/day",
            "draining keeps all but the failures'",
        ),
        context.row(
            "bytes of starting senders, a day",
            f"{target.restarts_a_day} × (configuration + list)",
            lambda: target.restarts_a_day * snapshot(context),
            "B",
            "`dewpin/dataplane` (subscription)",
        ),
        context.row(
            "bytes when all senders of a region start at once",
            f"{target.senders} / {target.regions} × (configuration + list)",
            lambda: senders_a_region * snapshot(context),
            "B",
            "`dewpin/dataplane` (subscription)",
        ),
        context.row(
            f"bytes of one store (of {stores})",
            f"bytes at all replicas / {stores}",
            lambda: share,
            "B",
            VIEW,
        ),
        context.row(
            "read to repair a lost store",
            f"its share from a majority of the old replicas: × {majority}",
            lambda: share * majority,
            "B",
            VIEW,
        ),
        context.row(
            "time of that repair",
            f"/ {plain(assumed.repair_bytes_per_s / 1e6)} MB/s (assumed)",
            lambda: repair_s / 60,
            "min",
            VIEW,
        ),
        context.row(
            "losses of another machine during that repair",
            f"{target.failures_a_day}/day over {target.senders + stores + target.control_machines} machines × "
            f"{stores - 1} stores × the repair's time",
            lambda: (
                target.failures_a_day
                / SECONDS_A_DAY
                * (stores - 1)
                / (target.senders + stores + target.control_machines)
                * repair_s
            ),
            "",
            VIEW,
        ),
        context.row(
            "programs without a majority when a zone is lost, placement blind to zones",
            f"{inside} of {stores} stores in the zone: share of {assumed.replicas}-sets with ≥ {majority} there",
            lambda: majority_in_one_zone(stores, target.zones, assumed.replicas),
            "share",
            "rendezvous over the view (today)",
        ),
        context.row(
            "the same over a region, placement blind to regions",
            f"{stores // target.regions} of {stores} stores in the region",
            lambda: majority_in_one_zone(stores, target.regions, assumed.replicas),
            "share",
            "rendezvous over the view (today)",
        ),
        context.row(
            "read to repair a lost zone",
            f"{inside} stores × share × {majority}",
            lambda: inside * share * majority,
            "B",
            VIEW,
        ),
        context.row(
            "turns refused in an hour between regions, one region cut off, replicas in all regions",
            f"{target.requests_per_s:,}/s / {target.regions} × {target.region_cut_s:,} s",
            lambda: target.requests_per_s / target.regions * target.region_cut_s,
            "",
            "a majority lies in the two other regions",
        ),
        context.row(
            "bytes to catch up after that hour",
            f"new turns of the two other regions for the third replica: {target.requests_per_s:,}/s × 2/3 × "
            f"{plain(context.turn_bytes / 1000)} kB × {target.region_cut_s:,} s",
            lambda: target.requests_per_s * 2 / 3 * context.turn_bytes * target.region_cut_s,
            "B",
            "to be built: hinted handoff",
        ),
        context.row(
            "quorum of control after a lost zone, at most one member a zone",
            f"{target.control_machines} − 1 of {target.control_machines}, majority {target.control_machines // 2 + 1}",
            lambda: target.control_machines - 1,
            "members",
            "`dewpin/consensus`",
        ),
        context.row(
            "quorum of control after a lost region, members 2 + 2 + 1",
            f"{target.control_machines} − 2 of {target.control_machines}, majority {target.control_machines // 2 + 1}",
            lambda: target.control_machines - 2,
            "members",
            "`dewpin/consensus`",
        ),
    ]
