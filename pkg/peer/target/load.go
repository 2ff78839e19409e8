package target

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// Load is the load that a target reports with a response, in requests and slots.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// WorkPercent is how long work takes at the target now, in percent of the usual
	// time, from 1 to maxWorkPercent. Zero means that the target doesn't report it.
	WorkPercent int
	// MalformedWorkPercent is the text of a figure for WorkPercent that is out of range
	// or not a number. Such a figure is otherwise ignored.
	MalformedWorkPercent string
}

const (
	// numLoadCounts is the number of counts in the load header field, which
	// WorkPercent may follow.
	numLoadCounts = 3
	// maxWorkPercent is the largest WorkPercent that makes sense.
	maxWorkPercent = 10_000
	// emptyFigure stands for an empty text in MalformedWorkPercent.
	emptyFigure = "(empty)"
)

// parseLoad parses the load header field. It returns nil if the field is missing or
// malformed.
func parseLoad(h http.Header, d *wire.Dialect) *Load {
	if d.Load == "" {
		return nil
	}
	parts := strings.Split(h.Get(d.Load), ",")
	if len(parts) < numLoadCounts || len(parts) > numLoadCounts+1 {
		return nil
	}
	var counts [numLoadCounts]int
	for i, p := range parts[:numLoadCounts] {
		v, err := strconv.Atoi(strings.TrimSpace(p))
		if err != nil || v < 0 {
			return nil
		}
		counts[i] = v
	}
	load := &Load{Running: counts[0], Waiting: counts[1], Slots: counts[2]}
	if len(parts) > numLoadCounts {
		load.parseWorkPercent(strings.TrimSpace(parts[numLoadCounts]))
	}
	return load
}

// parseWorkPercent sets WorkPercent, or MalformedWorkPercent.
func (l *Load) parseWorkPercent(text string) {
	v, err := strconv.Atoi(text)
	switch {
	case text == "":
		l.MalformedWorkPercent = emptyFigure
	case err != nil || v < 1 || v > maxWorkPercent:
		l.MalformedWorkPercent = text
	default:
		l.WorkPercent = v
	}
}
