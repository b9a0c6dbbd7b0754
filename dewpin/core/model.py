"""The types of the decision module's interface. They hold facts and point to each other.

Times are milliseconds with fractions. Whoever drives the module writes what it learns onto these objects
(list changes, load reports, withdrawn mails, the figures of an outcome); the module never changes
a fact, and keeps its own notes beside them.
"""

# What an answer of the module says.
NOT_YET = "not yet"     # the mail stays in line; `wait` names the time to ask again
RELAYED = "relayed"
DEFERRED = "deferred"   # the client may safely hand it in again
BOUNCED = "bounced"     # final, and nothing is promised about its effect

# How a connect ended.
DELIVERED = "delivered"
ERROR = "error"             # answered with an error
FULL = "full"               # turned away unseen
TIMED_OUT = "timed out"
UNREACHED = "unreached"     # no connection was made
DROPPED = "dropped"         # the connection broke before the whole mail had left
RESET = "reset"             # the connection broke after that
CALLED_OFF = "called off"
UNSENT = "unsent"           # it never left

# What the list says of a receiver.
READY, DRAINING, GONE = "ready", "draining", "gone"

REPORTED = {"x0": "left", "x1": "limit"}        # our words for what a load report holds


class Destination:
    """An outside system: its receivers, in the order in which the list first named them."""
    __slots__ = ("ident", "receivers", "notes", "gate")

    def __init__(self, ident):
        self.ident = ident
        self.receivers = []
        self.notes = self.gate = None   # the module's own


class Receiver:
    """One endpoint of a destination."""
    __slots__ = ("ident", "destination", "state", "kind", "zone", "weight", "report", "notes", "gate",
                 "address")

    def __init__(self, ident, destination, kind=0, zone=0, weight=0.0, state=READY):
        self.ident = ident
        self.destination = destination
        self.kind = kind
        self.zone = zone
        self.weight = weight        # as listed
        self.state = state
        self.address = None         # where it is reached, for whoever sends
        self.report = {}            # the latest load report, by the names of its fields
        self.notes = self.gate = None   # the module's own
        destination.receivers.append(self)


class Mail:
    """A message for one destination."""
    __slots__ = ("ident", "queue_class", "account", "key", "destination", "arrived", "expires", "withdrawn",
                 "told", "took", "before", "notes")

    def __init__(self, ident, destination, arrived, expires, queue_class=0, account=0, key=0,
                 before=(0, None, None)):
        self.ident = ident
        self.destination = destination
        self.arrived = arrived      # when it was first handed in, here or elsewhere
        self.expires = expires      # the end of its queue lifetime
        self.queue_class = queue_class
        self.account = account
        self.key = key              # of its order; 0: none
        self.withdrawn = False      # nothing is owed for it any more
        self.told = 0.0             # the wait that the latest outcome told
        self.took = 0.0             # how long the latest connect took
        self.before = before        # of an earlier life of the sender: connects made, and send time and
                                    # receiver of the first that may have run
        self.notes = None           # the module's own
