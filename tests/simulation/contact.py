"""Determines which machines the time-bounded rules apply to at a moment: those in contact (RULES, "In touch").

Derived from the faults that the run injected, never from the state of the programs.
"""

from dataclasses import dataclass

INFINITY = float("inf")


@dataclass(slots=True)
class Interval:
    """An interval from `start_s` to `end_s`, which is infinite while it lasts. `subject`: a machine's address or a pair
    of addresses."""

    subject: object
    start_s: float
    end_s: float = INFINITY

    def overlaps(self, from_s, to_s):
        return self.start_s <= to_s and self.end_s >= from_s


class Contact:
    """Records all faults of a run, by machine and by link."""

    def __init__(self, contact_s, now):
        self._contact_s = contact_s
        self._now = now
        self._faults = []
        self._cuts = []
        self._slow = []
        self._core_events_s = []
        self._kinds = {}
        self._process_intervals = {}
        self._allowed_outages = []

    # Recorded events

    def started(self, ip, kind):
        self._kinds[ip] = kind
        self._process_intervals.setdefault(ip, []).append(Interval(ip, self._now()))
        self._faults.append(Interval(ip, self._now(), self._now()))
        self._core_event(ip)

    def ended(self, ip):
        for process in self._process_intervals.get(ip, ()):
            if process.end_s == INFINITY:
                process.end_s = self._now()
        self._end(self._faults, ip)
        self._faults.append(Interval(ip, self._now(), self._now()))
        self._core_event(ip)

    def fault_began(self, ip, slow=False):
        self._faults.append(Interval(ip, self._now()))
        if slow:
            self._slow.append(Interval(ip, self._now()))
        self._core_event(ip)

    def fault_ended(self, ip):
        self._end(self._faults, ip)
        self._end(self._slow, ip)
        self._core_event(ip)

    def link_cut(self, pair):
        self._cuts.append(Interval(pair, self._now()))
        self._core_event(*pair)

    def link_restored(self, pair):
        self._end(self._cuts, pair)
        self._core_event(*pair)

    def _core_event(self, *ips):
        if all(self._kinds.get(ip) == "store" for ip in ips):
            self._core_events_s.append(self._now())

    def allowed_outage_began(self):
        """More is lost at once than the system has to tolerate: service may be unavailable, and no time bound holds."""
        self._allowed_outages.append(Interval("all", self._now()))

    def allowed_outage_ended(self):
        self._end(self._allowed_outages, "all")

    def _end(self, intervals, subject):
        for interval in intervals:
            if interval.subject == subject and interval.end_s == INFINITY:
                interval.end_s = self._now()

    # Derived state

    def is_in_contact(self, ip, at_s):
        """Whether the machine is in contact at a moment."""
        if self._in_allowed_outage(at_s):
            return False
        from_s = at_s - self._contact_s
        if any(from_s <= event_s <= at_s for event_s in self._core_events_s):
            return False
        if any(interval.overlaps(from_s, at_s) for interval in self._slow):
            return False
        majority = self._majority_side(at_s)
        return bool(majority) and self._is_undisturbed(ip, from_s, at_s) and self._has_paths(ip, majority, from_s, at_s)

    def had_reachable_majority(self, ip, since_s, at_s):
        """Whether the core has had a majority since a moment, and the machine no fault and full paths to it lately."""
        if any(interval.overlaps(since_s, at_s) for interval in self._allowed_outages):
            return False
        from_s = at_s - self._contact_s
        moments = [since_s, *[event_s for event_s in self._core_events_s if since_s < event_s <= at_s]]
        sides = [self._majority_side(moment_s) for moment_s in moments]
        return all(sides) and self._is_undisturbed(ip, from_s, at_s) and self._has_paths(ip, sides[-1], from_s, at_s)

    def process_started_s(self, ip, at_s):
        """The start time of the process that runs at a moment."""
        return max(process.start_s for process in self._process_intervals[ip] if process.start_s <= at_s)

    def is_fault_free(self, from_s, to_s):
        """Whether there was no fault at any machine or link in an interval."""
        intervals = [*self._faults, *self._cuts, *self._slow]
        return not any(interval.overlaps(from_s, to_s) for interval in intervals)

    def _in_allowed_outage(self, at_s):
        return any(interval.overlaps(at_s, at_s) for interval in self._allowed_outages)

    def _is_undisturbed(self, ip, from_s, to_s):
        if not any(
            process.start_s <= from_s and process.end_s >= to_s for process in self._process_intervals.get(ip, ())
        ):
            return False
        return not any(interval.subject == ip and interval.overlaps(from_s, to_s) for interval in self._faults)

    def _has_paths(self, ip, majority, from_s, to_s):
        return not any(
            interval.overlaps(from_s, to_s) and ip in interval.subject and not majority.isdisjoint(interval.subject)
            for interval in self._cuts
        )

    def _majority_side(self, at_s):
        """The running core machines that reach more than half of the core in both directions, or an empty set."""
        core = [ip for ip, kind in self._kinds.items() if kind == "store"]
        up = {ip for ip in core if self._is_healthy(ip, at_s)}
        cut_pairs = {interval.subject for interval in self._cuts if interval.start_s <= at_s < interval.end_s}

        def reachable_count(ip):
            return sum(one == ip or ((ip, one) not in cut_pairs and (one, ip) not in cut_pairs) for one in up)

        return {ip for ip in up if 2 * reachable_count(ip) > len(core)}

    def _is_healthy(self, ip, at_s):
        is_running = any(process.start_s <= at_s < process.end_s for process in self._process_intervals.get(ip, ()))
        return is_running and not any(
            interval.subject == ip and interval.start_s <= at_s < interval.end_s
            for interval in [*self._faults, *self._slow]
        )

    def removed(self, ip):
        """Record that a machine has left the system permanently."""
        self._kinds.pop(ip, None)
