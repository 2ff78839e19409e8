package member

import (
	"slices"
	"time"
)

// relays is what a view keeps while relays stand between the watchers of a
// large cell and the others. The watchers then decide who is silent, and the
// others take over their verdict.
type relays struct {
	// until is how long relays count as in use.
	until time.Time
	// watching is set while this instance is a watcher.
	watching bool
	// watched is when it last was, and settled is when what the relays report to
	// it counts.
	watched time.Time
	settled time.Time
	// judged is when a watcher gave the verdict that is held here.
	judged time.Time
	// reported is what each relay has told of those who report to it.
	reported map[string]reported
}

// reported is what a relay has last told.
type reported struct {
	digest uint64
	infos  []Info
}

func newRelays() relays { return relays{reported: map[string]reported{}} }

func (r *relays) forget(id string) { delete(r.reported, id) }

func (r *relays) inUse(now time.Time) bool { return now.Before(r.until) }

// relayed returns what is added to the silence that is allowed.
func (v *View) relayed(now time.Time) time.Duration {
	switch {
	case !v.relays.inUse(now):
		return 0
	case v.relays.watching:
		return v.timing.WatcherAllowance
	default:
		return v.timing.RelayAllowance
	}
}

// SetRelaysInUse takes in that relays are in use now, and whether this instance is a
// watcher.
func (v *View) SetRelaysInUse(now time.Time, watching bool) {
	v.relays.until = now.Add(v.timing.SuspectAfter + v.timing.RelayAllowance)
	v.SetWatcher(now, watching)
}

// RecentlyAlive returns the number of instances of the cell that live, or did
// until lately.
func (v *View) RecentlyAlive(now time.Time) int {
	n := 1
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && (now.Sub(v.lastWord(e)) < v.timing.ForgetAfter || v.state(now, e) != Suspect) {
			n++
		}
	}
	return n
}

// RelaysInUse reports whether relays are in use, or were until lately: others may
// still count on them.
func (v *View) RelaysInUse(now time.Time) bool { return v.relays.inUse(now) }

// SetWatcher takes in whether this instance is a watcher.
func (v *View) SetWatcher(now time.Time, watching bool) {
	if watching && v.relays.inUse(now) && now.Sub(v.relays.watched) > v.timing.SuspectAfter {
		v.takeOver(now)
	}
	v.relays.watching = watching
	if watching {
		v.relays.watched = now
	}
}

// TakingOver reports whether this instance has become a watcher so lately that
// it relies on the verdict of others.
func (v *View) TakingOver(now time.Time) bool {
	return v.relays.watching && now.Before(v.relays.settled)
}

// lastWord returns when e was last known to live: when it was heard from, or,
// unless this instance is a watcher, when a watcher held it alive.
func (v *View) lastWord(e *entry) time.Time {
	if !v.relays.watching && e.vouched.After(e.heard) {
		return e.vouched
	}
	return e.heard
}

// takeOver has all members that are in use now wait for the relays' reports.
func (v *View) takeOver(now time.Time) {
	v.relays.settled = now.Add(v.timing.TakeoverGrace)
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect {
			e.spared = now.Add(v.timing.TakeoverGrace)
		}
	}
}

// ExpectReplies takes in to whom this instance sends every heartbeat, so that they are
// silent when they don't answer, whoever else hears them.
func (v *View) ExpectReplies(now time.Time, ids []string) {
	for id, e := range v.entries {
		switch {
		case !slices.Contains(ids, id):
			e.asked = time.Time{}
		case e.asked.IsZero():
			e.asked = now
		}
	}
}

// silentToRelays reports whether e does not answer heartbeats, or was left out
// of the watchers' verdict without being heard here.
func (v *View) silentToRelays(now time.Time, e *entry) bool {
	silent := now.Sub(e.direct) >= v.timing.SuspectAfter
	if !e.asked.IsZero() && now.Sub(e.asked) >= v.timing.SuspectAfter && silent {
		return true
	}
	return !e.absent.IsZero() && silent
}

// UnseenDownstream returns those of ids that have not sent this instance their
// heartbeat within a time.
func (v *View) UnseenDownstream(now time.Time, ids []string, within time.Duration) []string {
	var silent []string
	for _, id := range ids {
		if e := v.entries[id]; e != nil && now.Sub(e.below) > within {
			silent = append(silent, id)
		}
	}
	return silent
}

// ObserveDownstreamHeartbeat takes in that a member has sent this instance its heartbeat.
func (v *View) ObserveDownstreamHeartbeat(now time.Time, in Info) {
	v.ObserveMessage(now, in)
	if e := v.entries[in.ID]; e != nil && e.info.Incarnation == in.Incarnation {
		e.below = now
	}
}

// Downstream returns the members that send this instance their heartbeats.
func (v *View) Downstream(now time.Time) ReportSet {
	w, heard := v.witnessed(now, func(e *entry) time.Time { return e.below })
	w.Digest = digest(heard)
	return w
}

// ObserveRelayReports takes in what a relay tells of those below it. It returns false
// when their reports are left out and not known here.
func (v *View) ObserveRelayReports(now time.Time, relay string, w ReportSet) bool {
	if len(w.Reports) > 0 {
		v.keepReported(now, relay, w)
		return true
	}
	known, ok := v.relays.reported[relay]
	if !ok || known.digest != w.Digest {
		return false
	}
	for _, in := range known.infos {
		v.ObserveReport(now, Report{Info: in, Age: w.Age})
	}
	return true
}

// keepReported takes in reports and keeps whom they are of.
func (v *View) keepReported(now time.Time, relay string, w ReportSet) {
	r := reported{digest: w.Digest}
	for _, m := range w.Reports {
		v.ObserveReport(now, m)
		r.infos = append(r.infos, m.Info)
	}
	v.relays.reported[relay] = r
}

// used returns the members of the cell that are not suspected.
func (v *View) used(now time.Time) ReportSet {
	var w ReportSet
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		if m.State != Suspect {
			w.add(m.Info, now.Sub(m.LastSeen))
		}
	}
	w.Digest = v.Digest(now)
	return w
}

// Verdict returns which members of the cell are not suspected. Its age is that
// of the watcher's verdict that it goes back to; that of a watcher has none,
// unless it takes over while others watch.
func (v *View) Verdict(now time.Time) ReportSet {
	w := v.used(now)
	w.Age = now.Sub(v.relays.judged)
	othersWatch := v.TakingOver(now) && w.Age < v.timing.SuspectAfter
	if v.relays.watching && v.relays.inUse(now) && !othersWatch {
		w.Age = 0
	}
	return w
}

// ObserveSameVerdict takes in that a watcher held the same members in use as
// this instance, at a time.
func (v *View) ObserveSameVerdict(now, at time.Time) {
	v.judge(at)
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect {
			e.vouch(at)
		}
	}
}

// ObserveVerdict takes over which members of the cell are not suspected, as a
// watcher held at a time, by way of from.
func (v *View) ObserveVerdict(now, at time.Time, from Info, list []Report) {
	v.judge(at)
	alive := map[string]bool{from.ID: true}
	for _, r := range list {
		alive[r.ID] = true
		if e := v.admit(now, r.Info); e != nil {
			e.absent = time.Time{}
			e.vouch(at)
		}
	}
	for id, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && !alive[id] && e.absent.IsZero() {
			e.absent = now
		}
	}
}

// vouch takes in that a watcher held e alive.
func (e *entry) vouch(at time.Time) {
	if at.After(e.vouched) {
		e.vouched = at
	}
}

// judge keeps the time of the newest verdict.
func (v *View) judge(at time.Time) {
	if at.After(v.relays.judged) {
		v.relays.judged = at
	}
}
