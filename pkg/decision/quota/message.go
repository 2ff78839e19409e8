package quota

import (
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

const (
	// maxLines bounds the workspaces in a message, maxName the length of a name in bytes,
	// and maxCount the numbers.
	maxLines = 64
	maxName  = 256
	maxCount = 1 << 20
)

// Ask is what an instance sends to an owner.
type Ask struct {
	From        string `json:"from"`
	Incarnation string `json:"inc"`
	// Seq numbers the asks to this owner, Seen is the last one whose answer has arrived.
	Seq  uint64 `json:"seq"`
	Seen uint64 `json:"seen"`
	// Close ends the session.
	Close bool      `json:"close,omitempty"`
	Lines []AskLine `json:"ws,omitempty"`
}

// AskLine is the part of an ask about one workspace. Workspaces without a change are
// left out.
type AskLine struct {
	Name string `json:"n"`
	// Used counts the tokens used since the first ask for the workspace.
	Used uint64 `json:"u,omitempty"`
	// Have is the number of tokens that the sender still has.
	Have int `json:"h,omitempty"`
	// Need is the number of waiting requests, Want what the sender expects besides, and
	// Stand asks for one token to keep, which is granted above standingReserve.
	Need  int `json:"w,omitempty"`
	Want  int `json:"x,omitempty"`
	Stand int `json:"s,omitempty"`
}

// Answer is the answer to an ask.
type Answer struct {
	// Epoch differs after the owner has forgotten what it granted.
	Epoch uint64       `json:"epoch"`
	Lines []AnswerLine `json:"ws,omitempty"`
}

// AnswerLine is the part of an answer about one workspace.
type AnswerLine struct {
	Name    string `json:"n"`
	Granted int    `json:"g,omitempty"`
	// PauseMS is the time until there is room, in milliseconds; zero if what was needed
	// has been granted.
	PauseMS int64 `json:"p,omitempty"`
	// NotOwner is set if the receiver isn't the owner in its own view.
	NotOwner bool `json:"no,omitempty"`
}

// Validate checks the bounds of an ask. Error: fault.KindBadRequest.
func (a *Ask) Validate() error {
	if a.From == "" || len(a.From) > maxName || len(a.Incarnation) > maxName || a.Seq == 0 || a.Seen >= a.Seq || len(a.Lines) > maxLines {
		return fault.New(fault.KindBadRequest, "invalid ask for tokens from %.40q: ask %d, last answered %d, %d workspaces", a.From, a.Seq, a.Seen, len(a.Lines))
	}
	seen := make(map[string]bool, len(a.Lines))
	for i := range a.Lines {
		l := &a.Lines[i]
		if l.Name == "" || len(l.Name) > maxName || seen[l.Name] || !isCount(l.Have) || !isCount(l.Need) || !isCount(l.Want) || l.Stand < 0 || l.Stand > 1 {
			return fault.New(fault.KindBadRequest, "invalid ask for tokens of workspace %.40q", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

// Validate checks the bounds of an answer. Error: fault.KindBadRequest.
func (a *Answer) Validate() error {
	if len(a.Lines) > maxLines {
		return fault.New(fault.KindBadRequest, "answer about %d workspaces", len(a.Lines))
	}
	for i := range a.Lines {
		l := &a.Lines[i]
		if !isCount(l.Granted) || l.PauseMS < 0 || l.PauseMS > maxPause.Milliseconds() {
			return fault.New(fault.KindBadRequest, "invalid grant of %d tokens of workspace %.40q, pause %d ms", l.Granted, l.Name, l.PauseMS)
		}
	}
	return nil
}

func isCount(n int) bool { return n >= 0 && n <= maxCount }

// pause returns the time until there is room.
func (l *AnswerLine) pause() time.Duration { return time.Duration(l.PauseMS) * time.Millisecond }
