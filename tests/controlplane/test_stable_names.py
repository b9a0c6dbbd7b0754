"""Names that must not change between releases: files in the data directory, and wire names used in mixed operation."""

from dewpin.cluster.receivers import DirectoryVersion
from dewpin.cluster.relay_messages import LeaseGrant
from dewpin.controlplane import storage
from dewpin.controlplane.membership import heartbeat_messages


def test_file_names_are_those_of_earlier_releases():
    assert storage.DATABASE_NAME == "keeper.sqlite3"
    assert storage.DAMAGED_MARKER_NAME == "keeper.damaged"


def test_wire_names_are_those_of_earlier_releases():
    assert heartbeat_messages.HEARTBEAT == "keeper.hello"
    grant = LeaseGrant(3.2, 1, DirectoryVersion(1, "r"), 0.1, (), ("10.0.0.1:1",), 4)
    assert grant.encode()["keepers"] == ("10.0.0.1:1",)
