package member

import (
	"cmp"
	"slices"
	"time"
)

// relayState is the state of a view for large cells, in which relays forward
// messages between the watchers and the other members. The watchers then decide
// which members are suspected, and the others adopt their verdict.
type relayState struct {
	// inUseUntil is when relays stop counting as in use unless it is renewed.
	inUseUntil time.Time
	// isWatcher is set while this instance is a watcher.
	isWatcher bool
	// lastWatcher is when this instance last was a watcher. takeoverUntil is when
	// a new watcher begins to rely on the relays' reports alone.
	lastWatcher   time.Time
	takeoverUntil time.Time
	// verdictAt is when a watcher reached the verdict in use here.
	verdictAt time.Time
	// reportsByRelay holds, by the id of a relay, its last reports about the
	// members downstream of it.
	reportsByRelay map[string]relayReports
}

// relayReports identifies the members in the last full set of reports of a relay.
type relayReports struct {
	digest uint64
	infos  []Info
}

func newRelayState() relayState { return relayState{reportsByRelay: map[string]relayReports{}} }

// forget removes the reports of a relay.
func (r *relayState) forget(id string) { delete(r.reportsByRelay, id) }

// inUse reports whether relays are in use at now, or were until recently.
func (r *relayState) inUse(now time.Time) bool { return now.Before(r.inUseUntil) }

// silenceAllowance returns the time added to SuspectAfter and ListedGrace for the
// delay of messages that pass through relays.
func (v *View) silenceAllowance(now time.Time) time.Duration {
	switch {
	case !v.relays.inUse(now):
		return 0
	case v.relays.isWatcher:
		return v.timing.WatcherAllowance
	default:
		return v.timing.RelayAllowance
	}
}

// SetRelaysInUse records that relays are in use at now, and whether this instance
// is a watcher. Without a further call, relays count as in use for SuspectAfter
// plus RelayAllowance.
func (v *View) SetRelaysInUse(now time.Time, isWatcher bool) {
	v.relays.inUseUntil = now.Add(v.timing.SuspectAfter + v.timing.RelayAllowance)
	v.SetWatcher(now, isWatcher)
}

// RecentlyAlive returns the number of instances of the cell, including this one,
// that are not suspected or were last known to be alive within ForgetAfter.
func (v *View) RecentlyAlive(now time.Time) int {
	n := 1
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && (now.Sub(v.lastAlive(e)) < v.timing.ForgetAfter || v.state(now, e) != Suspect) {
			n++
		}
	}
	return n
}

// RelaysInUse reports whether relays are in use or were until recently, so that
// other instances may still rely on them.
func (v *View) RelaysInUse(now time.Time) bool { return v.relays.inUse(now) }

// SetWatcher records whether this instance is a watcher. It begins a takeover when
// relays are in use and the instance has not been a watcher for SuspectAfter.
func (v *View) SetWatcher(now time.Time, isWatcher bool) {
	if isWatcher && v.relays.inUse(now) && now.Sub(v.relays.lastWatcher) > v.timing.SuspectAfter {
		v.beginTakeover(now)
	}
	v.relays.isWatcher = isWatcher
	if isWatcher {
		v.relays.lastWatcher = now
	}
}

// TakingOver reports whether this instance became a watcher so recently that it
// still adopts the verdict of the other watchers.
func (v *View) TakingOver(now time.Time) bool {
	return v.relays.isWatcher && now.Before(v.relays.takeoverUntil)
}

// lastAlive returns when e was last known to be alive: when a message was received
// from it or, unless this instance is a watcher, when a watcher's verdict last
// confirmed it, whichever is later.
func (v *View) lastAlive(e *entry) time.Time {
	if !v.relays.isWatcher && e.lastConfirmed.After(e.lastSeen) {
		return e.lastConfirmed
	}
	return e.lastSeen
}

// beginTakeover keeps the members that are not suspected now from being suspected
// for lack of messages until the relays have had time to report.
func (v *View) beginTakeover(now time.Time) {
	v.relays.takeoverUntil = now.Add(v.timing.TakeoverGrace)
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect {
			e.graceUntil = now.Add(v.timing.TakeoverGrace)
		}
	}
}

// ExpectReplies sets the members to which this instance sends every heartbeat.
// They are suspected when they do not reply, even if other instances receive
// messages from them.
func (v *View) ExpectReplies(now time.Time, ids []string) {
	for id, e := range v.entries {
		switch {
		case !slices.Contains(ids, id):
			e.replyExpectedSince = time.Time{}
		case e.replyExpectedSince.IsZero():
			e.replyExpectedSince = now
		}
	}
}

// ExpectedFailing returns the members that are sent every heartbeat and did not reply to
// the last one, sorted by id.
func (v *View) ExpectedFailing() []Info {
	var failing []Info
	for id, e := range v.entries {
		if !e.replyExpectedSince.IsZero() && v.Failing(id) {
			failing = append(failing, e.info)
		}
	}
	slices.SortFunc(failing, func(a, b Info) int { return cmp.Compare(a.ID, b.ID) })
	return failing
}

// unresponsiveOrAbsent reports whether this instance has received no message from e
// for SuspectAfter although it sent e every heartbeat, or while the watchers report
// e as suspected.
func (v *View) unresponsiveOrAbsent(now time.Time, e *entry) bool {
	unseen := now.Sub(e.lastDirect) >= v.timing.SuspectAfter
	if !e.replyExpectedSince.IsZero() && now.Sub(e.replyExpectedSince) >= v.timing.SuspectAfter && unseen {
		return true
	}
	return !e.absentSince.IsZero() && unseen
}

// UnseenDownstream returns those of ids that have sent this instance no heartbeat
// within limit.
func (v *View) UnseenDownstream(now time.Time, ids []string, limit time.Duration) []string {
	var unseen []string
	for _, id := range ids {
		if e := v.entries[id]; e != nil && now.Sub(e.lastDownstream) > limit {
			unseen = append(unseen, id)
		}
	}
	return unseen
}

// ObserveDownstreamHeartbeat records that a member has sent this instance a
// heartbeat.
func (v *View) ObserveDownstreamHeartbeat(now time.Time, in Info) {
	v.ObserveMessage(now, in)
	if e := v.entries[in.ID]; e != nil && e.info.Incarnation == in.Incarnation {
		e.lastDownstream = now
	}
}

// Downstream returns reports about the members that have sent this instance a
// heartbeat within SuspectAfter.
func (v *View) Downstream(now time.Time) ReportSet {
	reports, members := v.recentReports(now, func(e *entry) time.Time { return e.lastDownstream })
	reports.Digest = digestOf(members)
	return reports
}

// ObserveRelayReports applies a relay's reports about the members downstream of it.
// Reports that the relay omits are taken from its last full set, with the age in
// reports. It returns false when that set is missing or has another digest.
func (v *View) ObserveRelayReports(now time.Time, relay string, reports ReportSet) bool {
	if len(reports.Reports) > 0 {
		v.storeRelayReports(now, relay, reports)
		return true
	}
	known, ok := v.relays.reportsByRelay[relay]
	if !ok || known.digest != reports.Digest {
		return false
	}
	for _, in := range known.infos {
		v.ObserveReport(now, Report{Info: in, Age: reports.Age})
	}
	return true
}

// storeRelayReports applies a full set of reports and stores which members it
// contains.
func (v *View) storeRelayReports(now time.Time, relay string, reports ReportSet) {
	r := relayReports{digest: reports.Digest}
	for _, m := range reports.Reports {
		v.ObserveReport(now, m)
		r.infos = append(r.infos, m.Info)
	}
	v.relays.reportsByRelay[relay] = r
}

// unsuspected returns reports about the members of the cell that are not suspected.
func (v *View) unsuspected(now time.Time) ReportSet {
	var reports ReportSet
	for _, m := range v.CellMembers(now, v.self.EffectiveCell()) {
		if m.State != Suspect {
			reports.add(m.Info, now.Sub(m.LastSeen))
		}
	}
	reports.Digest = v.Digest(now)
	return reports
}

// Verdict returns the members of the cell that are not suspected. Its age is the
// time since a watcher reached the verdict that it is based on. The verdict of a
// watcher has age zero, except during a takeover while other watchers are active.
func (v *View) Verdict(now time.Time) ReportSet {
	verdict := v.unsuspected(now)
	verdict.Age = now.Sub(v.relays.verdictAt)
	otherWatchersActive := v.TakingOver(now) && verdict.Age < v.timing.SuspectAfter
	if v.relays.isWatcher && v.relays.inUse(now) && !otherWatchersActive {
		verdict.Age = 0
	}
	return verdict
}

// ObserveSameVerdict records that a watcher's verdict at the given time contains
// the same members as that of this instance.
func (v *View) ObserveSameVerdict(now, at time.Time) {
	v.recordVerdictTime(at)
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect {
			e.confirm(at)
		}
	}
}

// ObserveVerdict adopts a watcher's verdict of the given time, received from the
// instance from. list contains the members of the cell that are not suspected; all
// others except from are marked as absent.
func (v *View) ObserveVerdict(now, at time.Time, from Info, list []Report) {
	v.recordVerdictTime(at)
	alive := map[string]bool{from.ID: true}
	for _, r := range list {
		alive[r.ID] = true
		if e := v.upsert(now, r.Info); e != nil {
			e.absentSince = time.Time{}
			e.confirm(at)
		}
	}
	for id, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && !alive[id] && e.absentSince.IsZero() {
			e.absentSince = now
		}
	}
}

// confirm records that a watcher's verdict of the given time contains e.
func (e *entry) confirm(at time.Time) {
	if at.After(e.lastConfirmed) {
		e.lastConfirmed = at
	}
}

// recordVerdictTime stores the time of the newest verdict.
func (v *View) recordVerdictTime(at time.Time) {
	if at.After(v.relays.verdictAt) {
		v.relays.verdictAt = at
	}
}
