// Package member joins the platform's lagging list of instances with the
// heartbeats of this zone and the reports of others into one view of who may
// be used. The package is pure: the time is an argument, and it does no I/O.
package member

import (
	"sort"
	"time"
)

// Info describes one incarnation of an instance.
type Info struct {
	ID     string `json:"id"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Cell groups the instances that send each other heartbeats. Default: the
	// zone.
	Cell        string `json:"cell,omitempty"`
	Incarnation string `json:"incarnation"`
	// The IP addresses and ports of the listeners.
	CallerAddress string `json:"caller_address,omitempty"`
	HopAddress    string `json:"hop_address,omitempty"`
	PeerAddress   string `json:"peer_address,omitempty"`
	AdminAddress  string `json:"admin_address,omitempty"`
	// AdminTLS says that the admin listener takes only TLS.
	AdminTLS bool `json:"admin_tls,omitempty"`
	// Leaving is set once the instance stops. It holds for the incarnation.
	Leaving bool `json:"leaving,omitempty"`
}

// EffectiveCell returns the cell of the instance.
func (in *Info) EffectiveCell() string {
	if in.Cell != "" {
		return in.Cell
	}
	return in.Zone
}

// State says what an instance may be used for.
type State uint8

// The states.
const (
	// Alive: it gets new work.
	Alive State = iota
	// Leaving: it gets no new work and finishes what it has.
	Leaving
	// Suspect: it has been silent or unreachable; it gets no new work and is
	// still sent heartbeats.
	Suspect
)

// Member is one entry of the view.
type Member struct {
	Info
	State State
	// LastSeen is when anyone last heard from it.
	LastSeen time.Time
}

// Timing holds the durations of the view.
type Timing struct {
	// SuspectAfter is the silence after which a member of the zone is suspected.
	SuspectAfter time.Duration
	// ListedGrace is how long an instance that is only listed counts as alive.
	ListedGrace time.Duration
	// ForgetAfter is the silence after which an unlisted member is dropped.
	ForgetAfter time.Duration
	// RelayAllowance is added to Suspect and Grace while members are heard of through
	// relays, and Watching at a watcher, who is nearer to them.
	RelayAllowance   time.Duration
	WatcherAllowance time.Duration
	// TakeoverGrace is how long a new watcher waits for the relays' reports before
	// it holds a member for silent.
	TakeoverGrace time.Duration
}

// DefaultTiming returns the durations for normal use.
func DefaultTiming() Timing {
	return Timing{
		SuspectAfter: 3 * time.Second, ListedGrace: 5 * time.Second, ForgetAfter: 30 * time.Second,
		RelayAllowance: 2500 * time.Millisecond, WatcherAllowance: 500 * time.Millisecond, TakeoverGrace: 1500 * time.Millisecond,
	}
}

// entry is what is known of one instance.
type entry struct {
	info    Info
	heard   time.Time // by anyone; zero when only listed
	direct  time.Time // by this instance; zero when never
	below   time.Time // when its own heartbeat last came here; zero when never
	first   time.Time // when the incarnation was first seen anywhere
	failing time.Time // when calls to it began to fail; zero when they work
	failed  time.Time // when the last call to it failed
	asked   time.Time // since when it is sent every heartbeat; zero while it is not
	vouched time.Time // when a watcher last held it alive; zero when never
	spared  time.Time // until when its silence counts for nothing
	absent  time.Time // when its watchers reported it silent; zero when not
	listed  bool
}

// View is one instance's view of all instances. It is not safe for
// concurrent use.
type View struct {
	self    Info
	timing  Timing
	entries map[string]*entry
	relays  relays
}

// New returns a view that holds self only.
func New(self Info, timing Timing) *View {
	return &View{self: self, timing: timing, entries: map[string]*entry{}, relays: newRelays()}
}

// Self returns this instance's own entry.
func (v *View) Self() Info { return v.self }

// SetLeaving marks this instance as leaving.
func (v *View) SetLeaving() { v.self.Leaving = true }

// admit returns the entry for in, replacing that of an older incarnation. It
// returns nil when in is older than what is known.
func (v *View) admit(now time.Time, in Info) *entry {
	if in.ID == v.self.ID || in.ID == "" {
		return nil
	}
	e := v.entries[in.ID]
	if e == nil || in.Incarnation > e.info.Incarnation || (in.Incarnation != e.info.Incarnation && v.silentFor(now, e) > v.timing.ForgetAfter) {
		e = &entry{info: in, first: now}
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

func (v *View) silentFor(now time.Time, e *entry) time.Duration {
	if e.heard.IsZero() {
		return now.Sub(e.first)
	}
	return now.Sub(e.heard)
}

// ObserveList takes in the platform's list.
func (v *View) ObserveList(now time.Time, list []Info) {
	for _, e := range v.entries {
		e.listed = false
	}
	for _, in := range list {
		if e := v.admit(now, in); e != nil {
			e.listed = true
		}
	}
	for id, e := range v.entries {
		if !e.listed && v.silentFor(now, e) > v.timing.ForgetAfter {
			delete(v.entries, id)
			v.relays.forget(id)
		}
	}
}

// ObserveMessage takes in a message from the instance itself.
func (v *View) ObserveMessage(now time.Time, in Info) {
	if e := v.admit(now, in); e != nil {
		e.heard, e.direct = now, now
		e.absent = time.Time{}
	}
}

// Report is what one instance tells another about a third.
type Report struct {
	Info
	// Age is how long ago it was heard from.
	Age time.Duration `json:"age"`
}

// ObserveReport takes in a report from a peer of the zone.
func (v *View) ObserveReport(now time.Time, r Report) {
	e := v.admit(now, r.Info)
	if e == nil {
		return
	}
	at := now.Add(-r.Age)
	if at.After(e.heard) {
		e.heard = at
	}
	if at.After(e.absent) {
		e.absent = time.Time{}
	}
}

// ObserveAgreement takes in that a peer of the zone has itself heard, no
// longer than age ago, from the same members that are alive here.
func (v *View) ObserveAgreement(now time.Time, age time.Duration) {
	at := now.Add(-age)
	for _, e := range v.entries {
		if e.info.EffectiveCell() == v.self.EffectiveCell() && v.state(now, e) != Suspect && at.After(e.heard) {
			e.heard = at
		}
	}
}

// SetAbsent takes in that the instance's own zone has not heard from it.
func (v *View) SetAbsent(now time.Time, id, incarnation string, absent bool) {
	e := v.entries[id]
	if e == nil || e.info.Incarnation != incarnation {
		return
	}
	if !absent {
		e.absent = time.Time{}
	} else if e.absent.IsZero() {
		e.absent = now
	}
}

// ObserveCall takes in how a call to the instance ended.
func (v *View) ObserveCall(now time.Time, id string, ok bool) {
	e := v.entries[id]
	if e == nil {
		return
	}
	if ok {
		e.failing = time.Time{}
		return
	}
	e.failed = now
	if e.failing.IsZero() {
		e.failing = now
	}
}

// Failing reports whether the last call to the instance failed and it has not
// spoken since.
func (v *View) Failing(id string) bool {
	e := v.entries[id]
	return e != nil && !e.failing.IsZero() && !e.direct.After(e.failed)
}

// unreachable reports whether calls to e have failed for long. One that failed
// and was not made again says little.
func (v *View) unreachable(now time.Time, e *entry) bool {
	return !e.failing.IsZero() && now.Sub(e.failing) >= v.timing.SuspectAfter && e.failed.Sub(e.failing) >= v.timing.SuspectAfter/2
}

// state decides what e may be used for.
func (v *View) state(now time.Time, e *entry) State {
	if e.info.Leaving {
		return Leaving
	}
	if e.info.EffectiveCell() != v.self.EffectiveCell() {
		// Calls fail when the cells are cut off from each other too; only its
		// own cell knows whether it has ended.
		if !e.absent.IsZero() {
			return Suspect
		}
		return Alive
	}
	if v.unreachable(now, e) {
		return Suspect
	}
	if v.silentToRelays(now, e) {
		return Suspect
	}
	if !now.After(e.spared) {
		return Alive
	}
	heard := v.lastWord(e)
	if heard.IsZero() {
		if e.listed && now.Sub(e.first) < v.timing.ListedGrace+v.relayed(now) {
			return Alive
		}
		return Suspect
	}
	if now.Sub(heard) >= v.timing.SuspectAfter+v.relayed(now) {
		return Suspect
	}
	return Alive
}

// Members returns all members but self, by zone and id.
func (v *View) Members(now time.Time) []Member {
	return v.pick(now, func(*Info) bool { return true })
}

// StaleListings returns the listed members of a cell that nobody has heard from for
// after or longer: they have ended without taking themselves out of the list.
func (v *View) StaleListings(now time.Time, cell string, after time.Duration) []Info {
	var out []Info
	for _, e := range v.entries {
		if e.listed && e.info.EffectiveCell() == cell && v.silentFor(now, e) >= after {
			out = append(out, e.info)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// CellMembers returns the members of one cell but self, by id. A cell is a zone
// unless the instances say otherwise.
func (v *View) CellMembers(now time.Time, cell string) []Member {
	return v.pick(now, func(in *Info) bool { return in.EffectiveCell() == cell })
}

// pick returns the members that match, by zone and id.
func (v *View) pick(now time.Time, match func(*Info) bool) []Member {
	var ms []Member
	for _, e := range v.entries {
		if match(&e.info) {
			ms = append(ms, Member{Info: e.info, State: v.state(now, e), LastSeen: v.lastWord(e)})
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

// Find returns the given incarnation of an instance, and false when another
// one or none is known.
func (v *View) Find(id, incarnation string) (Info, bool) {
	e := v.entries[id]
	if e == nil || e.info.Incarnation != incarnation {
		return Info{}, false
	}
	return e.info, true
}
