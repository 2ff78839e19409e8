package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// wallet is the side of an instance that uses tokens.
type wallet struct {
	self, incarnation string
	view              *View
	limits            map[string]Limit
	entries           map[string]*entry
	list              []*entry // entries, in the order of their first request
	// links are the sessions with owners, by ID. seq is the number of the last ask.
	links map[string]*link
	seq   uint64
	// askedFor is the time up to which the sent asks use up what may be sent.
	askedFor time.Time
}

func newWallet(self, incarnation string) *wallet {
	return &wallet{self: self, incarnation: incarnation, entries: map[string]*entry{}, links: map[string]*link{}}
}

func (w *wallet) setView(v *View) {
	w.view = v
	for _, e := range w.list {
		e.part.view = nil
		e.setOwner(v.owner(e.hash))
		e.holder = v.holder(e.hash)
	}
	for id, l := range w.links {
		if _, ok := v.byID[id]; !ok && l.inFlight == nil {
			delete(w.links, id)
		}
	}
}

// setLimits replaces the limits. Tokens beyond a lower one are dropped.
func (w *wallet) setLimits(limits map[string]Limit) {
	w.limits = limits
	w.forget(func(e *entry) bool {
		_, ok := limits[e.name]
		return !ok
	})
	for _, e := range w.list {
		l := limits[e.name]
		if l == e.limit {
			continue
		}
		if l.Rate < e.limit.Rate {
			e.tokens = int(float64(e.tokens) * l.Rate / e.limit.Rate)
		}
		e.limit, e.pauseUntil = l, time.Time{}
		e.part = part{}
	}
}

// entry returns the entry of a workspace with a limit, or nil.
func (w *wallet) entry(name string, hashOf func(string) uint64) *entry {
	if e := w.entries[name]; e != nil {
		return e
	}
	l, ok := w.limits[name]
	if !ok || w.view == nil {
		return nil
	}
	h := hashOf(name)
	e := &entry{name: name, hash: h, owner: w.view.owner(h), holder: w.view.holder(h), limit: l}
	w.entries[name] = e
	w.list = append(w.list, e)
	return e
}

// forget removes the entries that match.
func (w *wallet) forget(match func(*entry) bool) {
	w.list = slices.DeleteFunc(w.list, func(e *entry) bool {
		if match(e) {
			delete(w.entries, e.name)
			return true
		}
		return false
	})
}

// link returns the session with an owner.
func (w *wallet) link(owner string) *link {
	l := w.links[owner]
	if l == nil {
		l = &link{owner: owner}
		w.links[owner] = l
	}
	return l
}

// byLastAsk returns the sessions, those first that have waited longest since their last ask.
func (w *wallet) byLastAsk() []*link {
	return slices.SortedFunc(maps.Values(w.links), func(a, b *link) int {
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.owner, b.owner))
	})
}

// ask returns the next ask to an owner, or nil if none is due.
func (w *wallet) ask(now time.Time, l *link) *Ask {
	wait := minAskInterval
	if l.closing {
		wait = closeRetry
	}
	if l.inFlight != nil || now.Sub(l.sentAt) < wait {
		return nil
	}
	lines, urgent := w.askLines(now, l)
	idle := now.Sub(l.usedAt) >= closeAfter
	since := now.Sub(l.sentAt)
	due := (urgent || len(lines) > 0 && since >= updateInterval) && w.askedFor.Sub(now) < askBurst*askInterval || idle || since >= keepalive || l.failures > 0 || l.answers == 1
	if !due {
		return nil
	}
	w.seq++
	if w.askedFor.Before(now) {
		w.askedFor = now
	}
	w.askedFor = w.askedFor.Add(askInterval)
	a := &Ask{From: w.self, Incarnation: w.incarnation, Seq: w.seq, Seen: l.seen, Close: idle, Lines: lines}
	for i := range lines {
		w.entries[lines[i].Name].sent = lines[i].Used
	}
	l.inFlight, l.sentAt = a, now
	l.closing = l.closing || idle
	return a
}

// askLines returns the lines of the next ask to an owner, and whether one is urgent.
func (w *wallet) askLines(now time.Time, l *link) (lines []AskLine, urgent bool) {
	valid := l.valid(now)
	for _, e := range w.list {
		if e.owner != l.owner || len(lines) == maxLines {
			continue
		}
		if !valid {
			e.drop()
		}
		line, changed, lineUrgent := e.askLine(now, w.self)
		if changed {
			lines = append(lines, line)
			urgent = urgent || lineUrgent
		}
	}
	return lines, urgent
}

// apply applies the answer to the ask in flight.
func (w *wallet) apply(now time.Time, l *link, a *Answer, random func() float64) {
	q := l.inFlight
	l.inFlight, l.failures = nil, 0
	if q.Close {
		w.end(l)
		return
	}
	if a.Epoch != l.epoch {
		w.dropAll(l.owner)
	}
	l.answers++
	l.epoch, l.seen, l.validFrom = a.Epoch, q.Seq, l.sentAt
	for i := range q.Lines {
		if e := w.entries[q.Lines[i].Name]; e != nil && e.owner == l.owner {
			e.known, e.trimmed = q.Lines[i].Used, false
		}
	}
	for i := range a.Lines {
		if e := w.entries[a.Lines[i].Name]; e != nil && e.owner == l.owner {
			e.receive(now, &a.Lines[i], random)
		}
	}
	if !l.valid(now) {
		w.dropAll(l.owner)
	}
}

// end ends the session with an owner.
func (w *wallet) end(l *link) {
	w.dropAll(l.owner)
	delete(w.links, l.owner)
}

// dropAll drops the tokens of an owner.
func (w *wallet) dropAll(owner string) {
	for _, e := range w.list {
		if e.owner == owner {
			e.tokens = 0
		}
	}
}
