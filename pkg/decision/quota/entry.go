package quota

import (
	"math"
	"time"
)

// entry is what a wallet holds for one workspace.
type entry struct {
	name    string
	hash    uint64
	owner   string
	holder  string
	limit   Limit
	demand  demand
	usedAt  time.Time // of the last request
	tokens  int       // granted and not used
	used    uint64    // tokens used in all
	sent    uint64    // used, as stated in the last ask
	known   uint64    // used, as stated in the last answered ask
	trimmed bool      // tokens were dropped since the last answered ask
	// disowned is set if the owner is not the owner in its own view.
	disowned bool
	// waiting is the number of requests that wait for tokens.
	waiting int
	// wanted is the number of tokens in the last ask, wantAfter the time before which the
	// instance asks only for what it needs.
	wanted    int
	wantAfter time.Time
	// pauseUntil is the time until which the owner has no tokens.
	pauseUntil time.Time
	// part is used in place of tokens while the owner is out of touch.
	part part
}

// part is the bucket of an instance's own part of a limit.
type part struct {
	// view is the one under which weight was computed.
	view     *View
	weight   float64
	level    float64
	filledAt time.Time
}

// setOwner changes the owner of a workspace. The tokens of the earlier one are dropped.
func (e *entry) setOwner(owner string) {
	if e.owner != owner {
		e.owner, e.tokens, e.known, e.pauseUntil, e.disowned = owner, 0, e.used, time.Time{}, false
	}
}

// forecast returns the tokens that the demand of the next horizon needs.
func (e *entry) forecast(now time.Time) int {
	mean := e.demand.value(now) * horizon.Seconds()
	return int(mean + deviations*math.Sqrt(mean))
}

// pooled reports whether the holder of the region admits the requests of the workspace in
// place of the instance: it has too few of them to keep tokens for, and the owner has not
// been out of tokens lately.
func (e *entry) pooled(now time.Time, self string) bool {
	return e.holder != "" && e.holder != self && e.demand.value(now) < pooledBelow && now.Sub(e.pauseUntil) > scarceFor
}

// drop drops the tokens.
func (e *entry) drop() {
	e.trimmed = e.trimmed || e.tokens > 0
	e.tokens = 0
}

// askLine returns the line about one workspace, whether it says anything, and whether it
// should be sent at once. Tokens beyond twice the forecast are given back.
func (e *entry) askLine(now time.Time, self string) (l AskLine, changed, urgent bool) {
	want, stand := e.forecast(now), 0
	switch {
	case e.pooled(now, self):
		want = 0
	case want == 0 && now.Sub(e.usedAt) < standFor:
		stand = 1
	}
	if keep := 2*want + stand; e.tokens > keep {
		e.tokens, e.trimmed = keep, true
	}
	l = AskLine{Name: e.name, Used: e.used, Have: e.tokens}
	if !now.Before(e.pauseUntil) {
		l.Need = min(e.waiting, maxCount)
	}
	if l.Need > 0 || !now.Before(e.pauseUntil) && !now.Before(e.wantAfter) {
		l.Want = max(0, want-e.tokens)
		if e.tokens == 0 {
			l.Stand = stand
		}
	}
	e.wanted = l.Need + l.Want + l.Stand
	urgent = l.Need > 0 || l.Want > 0 && 2*e.tokens <= want
	changed = urgent || e.trimmed || e.used != e.known || l.Want > 0 || l.Stand > 0
	return l, changed, urgent
}

// receive applies the line of an answer.
func (e *entry) receive(now time.Time, a *AnswerLine, random func() float64) {
	e.disowned = a.NotOwner
	if a.NotOwner {
		e.tokens = 0
		e.pauseUntil = now.Add(minAskInterval)
		return
	}
	e.tokens += a.Granted
	if a.Granted < e.wanted {
		e.wantAfter = now.Add(wantPause)
	}
	if a.PauseMS > 0 {
		e.pauseUntil = now.Add(time.Duration(float64(a.pause()) * (1 + random()/4)))
	}
}

// takePart takes a token of the instance's own part.
func (e *entry) takePart(now time.Time, v *View) bool {
	p := &e.part
	if p.view != v {
		w := v.weights(e.hash, e.limit)
		p.view, p.weight = v, w.of(v.self)
	}
	if dt := now.Sub(p.filledAt); dt < lease {
		p.level += e.limit.Rate * p.weight * dt.Seconds()
	}
	p.filledAt = now
	p.level = min(p.level, max(1, e.limit.capacity()*p.weight))
	if p.weight == 0 || p.level < 1 {
		return false
	}
	p.level--
	return true
}

// partPause returns the time until the instance's own part has a token.
func (e *entry) partPause() time.Duration {
	rate := e.limit.Rate * e.part.weight
	if rate <= 0 {
		return maxPause
	}
	return max(minPause, min(seconds((1-e.part.level)/rate), time.Second))
}
