// Package member maintains an instance's membership view. It combines the
// platform's list of instances, which lags, with the heartbeats of the instance's
// cell and the reports of other instances, and determines which may be used.
// The package performs no I/O and takes the current time as an argument.
package member

import (
	"maps"
	"sort"
	"time"
)

// State is the state of an instance as seen by this one.
type State uint8

const (
	// Alive instances receive new work.
	Alive State = iota
	// Leaving instances receive no new work and complete the work in progress.
	Leaving
	// Suspect instances have sent no message for too long or cannot be reached.
	// They receive no new work but are still sent heartbeats.
	Suspect
)

// Member is an instance in the view.
type Member struct {
	Info
	State State
	// LastSeen is when the member was last known to be alive, as observed by
	// this or any other instance.
	LastSeen time.Time
}

// Timing holds the timeouts of a view.
type Timing struct {
	// SuspectAfter is the time without a message after which a member of the
	// cell is suspected.
	SuspectAfter time.Duration
	// ListedGrace is how long an instance that is known only from the
	// platform's list counts as alive.
	ListedGrace time.Duration
	// ForgetAfter is the time without a message after which an unlisted member
	// is removed.
	ForgetAfter time.Duration
	// RelayAllowance is added to SuspectAfter and ListedGrace while relays are
	// in use. Watchers add WatcherAllowance instead, because their messages
	// pass through fewer instances.
	RelayAllowance   time.Duration
	WatcherAllowance time.Duration
	// TakeoverGrace is how long a new watcher waits for the relays' reports
	// before it suspects members for lack of messages.
	TakeoverGrace time.Duration
}

// DefaultTiming returns the timeouts for normal operation.
func DefaultTiming() Timing {
	return Timing{
		SuspectAfter: 3 * time.Second, ListedGrace: 5 * time.Second, ForgetAfter: 30 * time.Second,
		RelayAllowance: 2500 * time.Millisecond, WatcherAllowance: 500 * time.Millisecond, TakeoverGrace: 1500 * time.Millisecond,
	}
}

// entry is the state kept for one instance.
type entry struct {
	info               Info
	lastSeen           time.Time // last message received by any instance; zero when only listed
	lastDirect         time.Time // last message received by this instance; zero when never
	lastDownstream     time.Time // last heartbeat that it sent to this instance; zero when never
	firstSeen          time.Time // first observation of the incarnation, from any source
	failingSince       time.Time // first failure since the last successful call; zero when calls succeed
	lastFailure        time.Time // last failed call
	replyExpectedSince time.Time // since when it is sent every heartbeat; zero when it is not
	lastConfirmed      time.Time // last verdict of a watcher that it is alive; zero when never
	graceUntil         time.Time // end of the time in which missing messages raise no suspicion
	absentSince        time.Time // when its watchers first reported it suspected; zero when not
	listed             bool
}

// View is one instance's membership view of all instances. It is not safe for
// concurrent use.
type View struct {
	self    Info
	timing  Timing
	entries map[string]*entry
	relays  relayState
	// holdUnlistedUntil is the time before which members are not removed because the
	// list lacks them.
	holdUnlistedUntil time.Time
	// ended holds the incarnations that have left or have been removed, by instance ID.
	ended map[string]endedInstance
	// reappeared are the ended incarnations in the last list.
	reappeared []Info
}

// endedInstance is an incarnation of an instance that has ended.
type endedInstance struct {
	incarnation string
	at          time.Time
}

// keepEnded is how long it is remembered which incarnations have ended. A store that is
// restored from a copy some seconds old lists them again.
const keepEnded = 5 * time.Minute

// New returns a view that contains only self.
func New(self Info, timing Timing) *View {
	return &View{self: self, timing: timing, entries: map[string]*entry{}, relays: newRelayState(), ended: map[string]endedInstance{}}
}

// Self returns this instance's own description.
func (v *View) Self() Info { return v.self }

// SetLeaving marks this instance as leaving.
func (v *View) SetLeaving() { v.self.Leaving = true }

// upsert creates or updates the entry of an instance and returns it. A later
// incarnation replaces an earlier one; any other incarnation does so only when
// the known one has been unseen for longer than ForgetAfter. It returns nil when
// in is ignored: it has no id, is this instance, or is of an outdated incarnation.
func (v *View) upsert(now time.Time, in Info) *entry {
	if in.ID == v.self.ID || in.ID == "" {
		return nil
	}
	e := v.entries[in.ID]
	if e == nil || in.Incarnation > e.info.Incarnation || (in.Incarnation != e.info.Incarnation && v.unseenFor(now, e) > v.timing.ForgetAfter) {
		e = &entry{info: in, firstSeen: now}
		v.entries[in.ID] = e
		return e
	}
	if in.Incarnation != e.info.Incarnation {
		return nil
	}
	leaving := e.info.Leaving || in.Leaving
	e.info = in
	e.info.Leaving = leaving
	return e
}

// unseenFor returns the time since any instance last received a message from e,
// or since e was first seen when none did.
func (v *View) unseenFor(now time.Time, e *entry) time.Duration {
	if e.lastSeen.IsZero() {
		return now.Sub(e.firstSeen)
	}
	return now.Sub(e.lastSeen)
}

// ObserveList applies the platform's list of instances. Members that are not
// listed and have been unseen for longer than ForgetAfter are removed. Incarnations that
// have ended are ignored.
func (v *View) ObserveList(now time.Time, list []Info) {
	for _, e := range v.entries {
		e.listed = false
	}
	v.reappeared = nil
	for _, in := range list {
		if ended, ok := v.ended[in.ID]; ok && in.Incarnation <= ended.incarnation && v.entries[in.ID] == nil {
			v.reappeared = append(v.reappeared, in)
			continue
		}
		if e := v.upsert(now, in); e != nil {
			e.listed = true
		}
	}
	for id, e := range v.entries {
		if !e.listed && v.unseenFor(now, e) > v.timing.ForgetAfter && !now.Before(v.holdUnlistedUntil) {
			v.ended[id] = endedInstance{incarnation: e.info.Incarnation, at: now}
			delete(v.entries, id)
			v.relays.forget(id)
		}
	}
	maps.DeleteFunc(v.ended, func(_ string, e endedInstance) bool { return now.Sub(e.at) > keepEnded })
}

// HoldUnlisted keeps members that the list lacks until the given time: their entries are
// lost with a restore of the store, and they write them again.
func (v *View) HoldUnlisted(until time.Time) { v.holdUnlistedUntil = until }

// Reappeared returns the instances of a cell in the last list whose incarnations have
// ended, sorted by id.
func (v *View) Reappeared(cell string) []Info {
	var out []Info
	for _, in := range v.reappeared {
		if in.EffectiveCell() == cell {
			out = append(out, in)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// ObserveMessage records that a message, such as a heartbeat or a reply, was
// received directly from the instance.
func (v *View) ObserveMessage(now time.Time, in Info) {
	if e := v.upsert(now, in); e != nil {
		e.lastSeen, e.lastDirect = now, now
		e.absentSince = time.Time{}
	}
}

// Report is what one instance reports to another about a third.
type Report struct {
	Info
	// Age is the time since a message was last received from it.
	Age time.Duration `json:"age"`
}

// ObserveReport applies a report from a peer. An age below 0 counts as 0.
func (v *View) ObserveReport(now time.Time, r Report) {
	e := v.upsert(now, r.Info)
	if e == nil {
		return
	}
	at := now.Add(-max(0, r.Age))
	if at.After(e.lastSeen) {
		e.lastSeen = at
	}
	if at.After(e.absentSince) {
		e.absentSince = time.Time{}
	}
}

// ObserveAgreement records that a peer of the cell has itself received a message
// within age from each of the members that are not suspected here.
func (v *View) ObserveAgreement(now time.Time, age time.Duration) {
	at := now.Add(-max(0, age))
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect && at.After(e.lastSeen) {
			e.lastSeen = at
		}
	}
}

// SetAbsent records whether the instance's own cell reports it as suspected. A
// report about another incarnation is ignored.
func (v *View) SetAbsent(now time.Time, id, incarnation string, absent bool) {
	e := v.entries[id]
	if e == nil || e.info.Incarnation != incarnation {
		return
	}
	if !absent {
		e.absentSince = time.Time{}
	} else if e.absentSince.IsZero() {
		e.absentSince = now
	}
}

// ObserveCall records whether a call to the instance succeeded.
func (v *View) ObserveCall(now time.Time, id string, ok bool) {
	e := v.entries[id]
	if e == nil {
		return
	}
	if ok {
		e.failingSince = time.Time{}
		return
	}
	e.lastFailure = now
	if e.failingSince.IsZero() {
		e.failingSince = now
	}
}

// Failing reports whether the last call to the instance failed and no message
// has been received from it since.
func (v *View) Failing(id string) bool {
	e := v.entries[id]
	return e != nil && !e.failingSince.IsZero() && !e.lastDirect.After(e.lastFailure)
}

// FailedWithin reports whether the last call to the instance failed, less than d
// ago.
func (v *View) FailedWithin(now time.Time, id string, d time.Duration) bool {
	e := v.entries[id]
	return e != nil && !e.failingSince.IsZero() && now.Sub(e.lastFailure) < d
}

// callsKeepFailing reports whether calls to e have failed for SuspectAfter. A single
// failed call without a later one is no evidence, so the failures must also span
// half of that time.
func (v *View) callsKeepFailing(now time.Time, e *entry) bool {
	return !e.failingSince.IsZero() && now.Sub(e.failingSince) >= v.timing.SuspectAfter && e.lastFailure.Sub(e.failingSince) >= v.timing.SuspectAfter/2
}

// state returns the state of e at now.
func (v *View) state(now time.Time, e *entry) State {
	if e.info.Leaving {
		return Leaving
	}
	if e.info.EffectiveCell() != v.self.EffectiveCell() {
		// Calls also fail during a network partition between the cells, so only
		// the reports of its own cell show that an instance has failed.
		if !e.absentSince.IsZero() {
			return Suspect
		}
		return Alive
	}
	if v.callsKeepFailing(now, e) {
		return Suspect
	}
	if v.unresponsiveOrAbsent(now, e) {
		return Suspect
	}
	if !now.After(e.graceUntil) {
		return Alive
	}
	lastAlive := v.lastAlive(e)
	if lastAlive.IsZero() {
		if e.listed && now.Sub(e.firstSeen) < v.timing.ListedGrace+v.silenceAllowance(now) {
			return Alive
		}
		return Suspect
	}
	if now.Sub(lastAlive) >= v.timing.SuspectAfter+v.silenceAllowance(now) {
		return Suspect
	}
	return Alive
}

// Members returns all members except self, sorted by zone and id.
func (v *View) Members(now time.Time) []Member {
	return v.selectMembers(now, func(*Info) bool { return true })
}

// StaleListings returns the listed members of a cell, sorted by id, from which no
// instance has received a message for at least silence: they have failed without
// removing their entries from the list.
func (v *View) StaleListings(now time.Time, cell string, silence time.Duration) []Info {
	var out []Info
	for _, e := range v.entries {
		if e.listed && e.info.EffectiveCell() == cell && v.unseenFor(now, e) >= silence {
			out = append(out, e.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// CellMembers returns the members of a cell except self, sorted by zone and id. A
// cell is a zone unless the instances set Info.Cell.
func (v *View) CellMembers(now time.Time, cell string) []Member {
	return v.selectMembers(now, func(in *Info) bool { return in.EffectiveCell() == cell })
}

// selectMembers returns the members that match, sorted by zone and id.
func (v *View) selectMembers(now time.Time, match func(*Info) bool) []Member {
	var ms []Member
	for _, e := range v.entries {
		if match(&e.info) {
			ms = append(ms, Member{Info: e.info, State: v.state(now, e), LastSeen: v.lastAlive(e)})
		}
	}
	sort.Slice(ms, func(i, j int) bool {
		if ms[i].Zone != ms[j].Zone {
			return ms[i].Zone < ms[j].Zone
		}
		return ms[i].ID < ms[j].ID
	})
	return ms
}

// Find returns the given incarnation of an instance, and false when the view
// contains no entry or another incarnation.
func (v *View) Find(id, incarnation string) (Info, bool) {
	e := v.entries[id]
	if e == nil || e.info.Incarnation != incarnation {
		return Info{}, false
	}
	return e.info, true
}
