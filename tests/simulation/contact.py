"""Which machines the rules bound in time hold for at a moment: those in touch (RULES, "In touch").

Kept from what the run itself did to the machines, never from what the programs think.
"""

from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(slots=True)
class Span:
    """A trouble from `start_s` to `end_s`, which is infinite while it lasts. `what`: a machine, or a pair of them."""

    what: object
    start_s: float
    end_s: float = INFINITY

    def touches(self, from_s, to_s):
        return self.start_s <= to_s and self.end_s >= from_s


class Contact:
    """All trouble of a run, by machine and by link."""

    def __init__(self, contact_s, now):
        self._contact_s = contact_s
        self._now = now
        self._troubles = []
        self._cuts = []
        self._slow = []
        self._core_events_s = []
        self._kinds = {}
        self._lives = {}
        self._rests = []

    # What befell

    def started(self, ip, kind):
        self._kinds[ip] = kind
        self._lives.setdefault(ip, []).append(Span(ip, self._now()))
        self._troubles.append(Span(ip, self._now(), self._now()))
        self._core_event(ip)

    def ended(self, ip):
        for life in self._lives.get(ip, ()):
            if life.end_s == INFINITY:
                life.end_s = self._now()
        self._end(self._troubles, ip)
        self._troubles.append(Span(ip, self._now(), self._now()))
        self._core_event(ip)

    def trouble_began(self, ip, slow=False):
        self._troubles.append(Span(ip, self._now()))
        if slow:
            self._slow.append(Span(ip, self._now()))
        self._core_event(ip)

    def trouble_ended(self, ip):
        self._end(self._troubles, ip)
        self._end(self._slow, ip)
        self._core_event(ip)

    def cut_began(self, pair):
        self._cuts.append(Span(pair, self._now()))
        self._core_event(*pair)

    def cut_ended(self, pair):
        self._end(self._cuts, pair)
        self._core_event(*pair)

    def _core_event(self, *ips):
        if all(self._kinds.get(ip) == "store" for ip in ips):
            self._core_events_s.append(self._now())

    def rest_began(self):
        """More is lost at once than the system has to bear: service may rest, and no bound in time holds."""
        self._rests.append(Span("all", self._now()))

    def rest_ended(self):
        self._end(self._rests, "all")

    def _end(self, spans, what):
        for span in spans:
            if span.what == what and span.end_s == INFINITY:
                span.end_s = self._now()

    # What follows

    def in_touch(self, ip, at_s):
        """Whether the machine is in touch at a moment."""
        if self._rests_at(at_s):
            return False
        from_s = at_s - self._contact_s
        if any(from_s <= event_s <= at_s for event_s in self._core_events_s):
            return False
        if any(span.touches(from_s, at_s) for span in self._slow):
            return False
        majority = self._majority_side(at_s)
        return bool(majority) and self._is_calm(ip, from_s, at_s) and self._has_paths(ip, majority, from_s, at_s)

    def is_outer(self, ip, since_s, at_s):
        """Whether only the core's troubles, none of them a loss of its majority, have befallen since a moment."""
        if any(span.touches(since_s, at_s) for span in self._rests):
            return False
        from_s = at_s - self._contact_s
        moments = [since_s, *[event_s for event_s in self._core_events_s if since_s < event_s <= at_s]]
        sides = [self._majority_side(moment_s) for moment_s in moments]
        return all(sides) and self._is_calm(ip, from_s, at_s) and self._has_paths(ip, sides[-1], from_s, at_s)

    def life_began_s(self, ip, at_s):
        """When the process that runs at a moment was started."""
        return max(life.start_s for life in self._lives[ip] if life.start_s <= at_s)

    def is_calm(self, from_s, to_s):
        """Whether nothing at all befell anybody in a time."""
        spans = [*self._troubles, *self._cuts, *self._slow]
        return not any(span.touches(from_s, to_s) for span in spans)

    def _rests_at(self, at_s):
        return any(span.touches(at_s, at_s) for span in self._rests)

    def _is_calm(self, ip, from_s, to_s):
        if not any(life.start_s <= from_s and life.end_s >= to_s for life in self._lives.get(ip, ())):
            return False
        return not any(span.what == ip and span.touches(from_s, to_s) for span in self._troubles)

    def _has_paths(self, ip, majority, from_s, to_s):
        return not any(
            span.touches(from_s, to_s) and ip in span.what and not majority.isdisjoint(span.what) for span in self._cuts
        )

    def _majority_side(self, at_s):
        """The core machines that run and reach more than half of the core, both ways; none if there is no such side."""
        core = [ip for ip, kind in self._kinds.items() if kind == "store"]
        up = {ip for ip in core if self._works(ip, at_s)}
        parted = {span.what for span in self._cuts if span.start_s <= at_s < span.end_s}

        def reached(ip):
            return sum(one == ip or ((ip, one) not in parted and (one, ip) not in parted) for one in up)

        return {ip for ip in up if 2 * reached(ip) > len(core)}

    def _works(self, ip, at_s):
        runs = any(life.start_s <= at_s < life.end_s for life in self._lives.get(ip, ()))
        return runs and not any(
            span.what == ip and span.start_s <= at_s < span.end_s for span in [*self._troubles, *self._slow]
        )

    def removed(self, ip):
        """A machine that is no part of the system any more."""
        self._kinds.pop(ip, None)
