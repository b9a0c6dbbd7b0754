"""The messages between members, and an entry of the list as it is told. Free of I/O."""
import msgspec

ALIVE, SUSPECT, LOST, LEFT = range(4)       # of the same incarnation the greater one counts
WORDS = ("alive", "suspect", "lost", "left")
Address = tuple[str, int]

NAME = 64               # characters of a name or host
ROOM = 1100             # bytes of news in a datagram


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One member as told. `life`: drawn at its start, a later start has a greater one; `count`: how often it had to
    contradict since; `by`: of a suspicion, who says so."""
    name: str
    host: str
    port: int
    life: int
    count: int
    state: int
    by: str = ""

    @property
    def rank(self) -> tuple[int, int, int]:
        return self.life, self.count, self.state


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    seq: int
    news: tuple[Entry, ...]


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    seq: int
    news: tuple[Entry, ...]


class Try(msgspec.Struct, frozen=True, tag="try"):
    """Asks another to ping `name` and to pass the answer on; a Nack says that none came in time."""
    seq: int
    name: str
    host: str
    port: int
    news: tuple[Entry, ...]


class Nack(msgspec.Struct, frozen=True, tag="nack"):
    seq: int


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Asks for the list from behind a name; one that has the same `digest` answers with nothing."""
    after: str
    digest: int
    me: Entry


class Page(msgspec.Struct, frozen=True, tag="page"):
    entries: tuple[Entry, ...]
    more: bool


Said = Ping | Ack | Try | Nack | Pull | Page
Out = list[tuple[str, Address, Said]]       # (name, or "" where it is not known yet; address; message)


def bytes_of(entry: Entry) -> int:
    """About how many bytes an entry takes in a datagram."""
    return len((entry.name + entry.host + entry.by).encode()) + 32
