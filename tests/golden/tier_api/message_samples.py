"""Values from which the messages between the tier's processes are made."""

from golden.tier_api.json_types import Json

from dewpin.cluster.receivers import DirectoryVersion, Receiver
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.membership.peers import PeerDescription

COLD_RECEIVER = Receiver("i-1", "engines", "10.1.0.9:8081", "east", 16, True, 812.5, "v2")
MINIMAL_RECEIVER = Receiver("i-2", "plain", "10.1.0.10:8081", "", 1)
VERSION = DirectoryVersion(12, "keeper-a")
NO_VERSION = DirectoryVersion(0, "")
BALLOT = Ballot(1700000000123, "sender-a")
NEXT_BALLOT = Ballot(1700000000124, "sender-a")
ZERO_BALLOT = Ballot(0, "")
TURN = TurnRecord("t-2", "p-1", "t-1", 60000, b"in \x00\xff\xe4\n", b"out\n")
FIRST_TURN = TurnRecord("t-1", "p-1", None, 0, b"", b"")
VIEW = StoreView(
    5,
    (Member("m1", "10.0.0.1:8144", "north/east"), Member("m2", "10.0.0.2:8144", "north/west")),
    (Member("m2", "10.0.0.2:8144", "north/west"), Member("m3", "10.0.0.3:8144", "south/east")),
)
STABLE_VIEW = StoreView(1, (Member("m1", "10.0.0.1:8144"),))
LEDGER = {"spent": 40, "open": {"t-2": 25}}
STATE: Json = {
    "version": 9,
    "members": {"m1": "10.0.0.1:8144", "m2": "10.0.0.2:8144"},
    "former_members": {"m1": "10.0.0.1:8144"},
    "names": {"m1": "control-1", "m2": "control-2"},
    "stores": VIEW.to_json(),
    "retiring": ["store-1"],
    "retired": ["store-0"],
    "configuration": {
        "generation": 7,
        "digest": "0123456789abcdef01234567",
        "body": '{"generation":7,"note":"\u00e4"}',
    },
    "accepted": [[6, "89abcdef0123456789abcdef"], [7, "0123456789abcdef01234567"]],
    "orders_taken": 31,
    "note": "by hand",
}
MINIMAL_STATE: Json = {
    "version": 0,
    "members": {},
    "former_members": {},
    "names": {},
    "stores": {"epoch": 0, "stable": {}, "next": None},
    "retiring": [],
    "retired": [],
    "configuration": None,
    "accepted": [],
}
PEER_RECORD: Json = {
    "id": "m1",
    "name": "control-1",
    "address": "10.0.0.1:8144",
    "control": True,
    "store": False,
    "version": 9,
    "synced_epoch": 5,
    "leaving": False,
    "bootstrap": True,
    "list_fails": False,
    "location": "north/east",
    "reaches_majority": True,
}
MINIMAL_PEER_RECORD = {
    name: value for name, value in PEER_RECORD.items() if name not in ("location", "reaches_majority")
}
PEER = PeerDescription.decode(PEER_RECORD)
MINIMAL_PEER = PeerDescription.decode(MINIMAL_PEER_RECORD)
