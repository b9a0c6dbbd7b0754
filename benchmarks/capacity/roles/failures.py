"""Failures on paper: what is lost, for how long, and the traffic of repair."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.roles.store import disk_of
from benchmarks.capacity.sheet import Row, plain
from benchmarks.capacity.target import SECONDS_A_DAY
from dewpin.cluster.placement import location_of, majority, region_of, replicas

MICROSECONDS = 1e6
SAMPLED_PROGRAMS = 2000
INDEX_ROWS_OF_THE_SERIES = 256
LEASES = "`dewpin/controlplane/membership/leases.py`"
VIEW = "`dewpin/controlplane/membership/reconfiguration.py`"
SYNC = "`dewpin/controlplane/store/replica_sync.py`"
PLACEMENT = "`dewpin/cluster/placement.py`"
WATCH = "`dewpin/dataplane/membership/cluster_agent.py`"


def majority_within(stores: int, zones: int, regions: int, count: int, of_region: bool) -> float:
    """Share of sampled programs with a majority of their replicas in one zone, or one region, by the real placement.

    Stores stand evenly over the zones, and zones over the regions.
    """
    members = tuple(f"store-{number}" for number in range(stores))
    locations = tuple(
        location_of(f"region-{number % zones % regions}", f"zone-{number % zones}") for number in range(stores)
    )
    location = dict(zip(members, locations, strict=True))
    lost = region_of(locations[0]) if of_region else locations[0]
    hits = 0
    for key in range(SAMPLED_PROGRAMS):
        held = [location[member] for member in replicas(f"program-{key}", members, count, locations)]
        inside = sum((region_of(one) if of_region else one) == lost for one in held)
        hits += inside >= majority(count)
    return hits / SAMPLED_PROGRAMS


def snapshot(context: Context) -> Estimate:
    """Bytes that a starting sender asks for: the system state and the receivers."""
    return context.state_bytes + context.at("receiver-bytes", context.target.receivers)


def scan_s(context: Context) -> Estimate:
    """Processor seconds at each source of a view change: its whole index, once for each store of the next view."""
    rows = context.target.programs * context.target.turns_a_program * context.assumed.replicas / context.assumed.stores
    a_row = context.at("index-scan", INDEX_ROWS_OF_THE_SERIES) / INDEX_ROWS_OF_THE_SERIES
    return rows * (context.assumed.stores - 1) * a_row / MICROSECONDS


def share_of_a_store(context: Context) -> Estimate:
    """Bytes of the file of one store."""
    return disk_of(context, context.assumed.replicas) / context.assumed.stores


def repair_s(context: Context) -> Estimate:
    """Time to copy what a lost store held."""
    return share_of_a_store(context) / (context.assumed.repair_mb_per_s * 1e6)


def sender_rows(context: Context) -> list[Row]:
    """Lost and restarted senders. A table: as long as its rows."""
    target = context.target
    return [
        context.row(
            "time until a lost sender's lease is over (its children leave it after a second)",
            f"max({design.LEASE_PERIODS}, {design.LEASE_CYCLES} × {target.control_machines}) × "
            f"{plain(context.renewal_s)} s",
            lambda: context.lease_s(target.control_machines),
            "s",
            LEASES,
        ),
        context.row(
            "streams broken by a lost sender",
            "streams at once of one sender",
            lambda: context.streams_a_sender,
            "",
            "`dewpin/dataplane/routing/retry.py`: resumable ones go on elsewhere",
        ),
        context.row(
            "streams under way at the restarts of a day, to be drained",
            f"{target.restarts_a_day} × streams at once",
            lambda: target.restarts_a_day * context.streams_a_sender,
            "",
            "`dewpin/dataplane/ingress/server.py` (drain at SIGTERM)",
        ),
        context.row(
            "time that a whole stream needs to drain",
            f"{target.first_token_s} s + {plain(context.tokens_a_request)} tokens × {plain(target.token_gap_ms)} ms",
            lambda: context.stream_s,
            "s",
            "the platform's grace must be longer, or streams are resumed elsewhere",
        ),
        context.row(
            "bytes of starting senders, a day",
            f"{target.restarts_a_day} × (state + receivers)",
            lambda: target.restarts_a_day * snapshot(context),
            "B",
            WATCH,
        ),
        context.row(
            "bytes from the control servers when a region's senders start at once",
            f"{target.senders} / {target.regions} × (state + receivers): without a lease there is no parent yet",
            lambda: target.senders / target.regions * snapshot(context),
            "B",
            WATCH,
        ),
    ]


def store_rows(context: Context) -> list[Row]:
    """A lost store: detection, copy, and what may go wrong meanwhile. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    machines = target.senders + stores + target.control_machines
    return [
        context.row(
            "time until a lost store leaves the view, a successor there / none",
            f"{plain(design.REPLACEMENT_TIMEOUT_S)} s / {plain(design.REMOVAL_TIMEOUT_S)} s",
            lambda: design.REMOVAL_TIMEOUT_S,
            "s",
            VIEW,
        ),
        context.row(
            "bytes copied for a lost store",
            f"its share: bytes of files / {stores}; each body is fetched from one source",
            lambda: share_of_a_store(context),
            "B",
            SYNC,
        ),
        context.row(
            "time of that copy",
            f"/ {plain(assumed.repair_mb_per_s)} MB/s (assumed)",
            lambda: repair_s(context) / 60,
            "min",
            SYNC,
        ),
        context.row(
            "rows of the index read by all sources together, each change of the view",
            f"every store of the next view scans every source: ({stores} − 1) × turns at all replicas",
            lambda: (stores - 1) * target.programs * target.turns_a_program * assumed.replicas,
            "",
            f"{SYNC}, `store.py`",
        ),
        context.row(
            "processor time of that at each source",
            f"turns at all replicas / {stores} × ({stores} − 1) × index-scan a row",
            lambda: scan_s(context),
            "s",
            f"{SYNC}, `store.py`",
        ),
        context.row(
            "other stores lost during that copy, mean",
            f"{target.failures_a_day}/day × ({stores} − 1) of {machines} machines × the copy's time",
            lambda: target.failures_a_day / SECONDS_A_DAY * (stores - 1) / machines * repair_s(context),
            "",
            VIEW,
        ),
    ]


def zone_loss_rows(context: Context) -> list[Row]:
    """Loss of a zone or a region: programs without a majority, load, copies."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    inside = stores // target.zones
    return [
        context.row(
            "programs without a majority when a zone is lost",
            f"{inside} of {stores} stores in the zone: share of {SAMPLED_PROGRAMS} sampled programs with "
            f"≥ {assumed.replicas // 2 + 1} of {assumed.replicas} replicas there",
            lambda: majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=False),
            "share",
            PLACEMENT,
            0.0,
        ),
        context.row(
            "programs without a majority when a region is lost",
            f"{stores // target.regions} of {stores} stores in the region; the same sample",
            lambda: majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=True),
            "share",
            PLACEMENT,
            0.0,
        ),
        context.row(
            "load on the other senders when a zone is lost",
            f"{target.senders} / ({target.senders} − {target.senders} / {target.zones})",
            lambda: 1 / (1 - 1 / target.zones),
            "times",
            "the platform's entry",
        ),
        context.row(
            "bytes copied after a lost zone",
            f"{inside} stores × their share",
            lambda: inside * share_of_a_store(context),
            "B",
            SYNC,
        ),
    ]


def register_loss_rows(context: Context) -> list[Row]:
    """Members of the register after the loss of a zone or a region."""
    target = context.target
    members = target.control_machines
    members_majority = majority(members)
    return [
        context.row(
            "members of the register after a lost zone or rack, one member a zone",
            f"{members} − 1, majority {members_majority}",
            lambda: members - 1,
            "",
            "`dewpin/consensus`",
        ),
        context.row(
            "members of the register after a lost region, members 2 + 2 + 1",
            f"{members} − 2, majority {members_majority}",
            lambda: members - 2,
            "",
            "`dewpin/consensus`",
        ),
    ]


def region_cut_rows(context: Context) -> list[Row]:
    """A region that is cut off for an hour, and replicas in other regions. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    cut_turns = target.requests_per_s / target.regions * target.region_cut_s
    return [
        context.row(
            "turns refused in an hour with one region cut off",
            f"{target.requests_per_s:,}/s / {target.regions} × {target.region_cut_s:,} s: the cut-off region holds "
            "too few replicas, but for its own share of the row above",
            lambda: (
                cut_turns
                * (1 - majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=True))
            ),
            "",
            "`dewpin/dataplane/programs/store_client.py`",
        ),
        context.row(
            "bytes to catch up after that hour",
            f"turns of the two other regions for replicas behind the cut: {target.requests_per_s:,}/s × "
            f"{target.regions - 1}/{target.regions} × {plain(context.turn_bytes / 1000)} kB × {target.region_cut_s:,} s"
            f" × {assumed.replicas} / {target.regions}",
            lambda: (
                target.requests_per_s
                * (target.regions - 1)
                / target.regions
                * context.turn_bytes
                * target.region_cut_s
                * assumed.replicas
                / target.regions
            ),
            "B",
            "to be built: hinted handoff (today a sender offers a turn for seconds only)",
        ),
        context.row(
            "time added to a first token by replicas in other regions",
            f"{assumed.ledger_rounds_to_reserve} rounds to reserve × {plain(assumed.region_round_trip_ms)} ms",
            lambda: assumed.ledger_rounds_to_reserve * assumed.region_round_trip_ms,
            "ms",
            "`dewpin/dataplane/programs/store_client.py`",
            target.first_token_s * 1000,
        ),
    ]


def place_rows(context: Context) -> list[Row]:
    """Racks, zones and regions."""
    return [
        *zone_loss_rows(context),
        *register_loss_rows(context),
        *region_cut_rows(context),
    ]
