// Package outcome keeps what is known about the requests that may run at most
// once: the form of their ids, and the registry of the instance that an id
// names. It is pure: the time is an argument, and one goroutine at a time may
// use a Registry.
package outcome

import (
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// ID is the parsed id of a request, "<instance>.<incarnation>.<stamp>.<suffix>".
// The first three parts are the prefix that a look-up answer hands out, the
// caller makes up the suffix.
type ID struct {
	// Instance and Incarnation name the home, the only instance that may run
	// the request.
	Instance    string
	Incarnation string
	// IssuedAt is when the prefix was handed out, to the millisecond.
	IssuedAt time.Time
	// Suffix tells the ids of one prefix apart.
	Suffix string
}

const (
	// MaxSuffixBytes bounds the suffix.
	MaxSuffixBytes = 64
	// maxNameBytes bounds the instance and the incarnation.
	maxNameBytes = 63
	// stampBase is the base of the stamp's digits.
	stampBase = 36
)

// Prefix returns the start of the ids of requests first sent to an instance.
func Prefix(instance, incarnation string, now time.Time) string {
	return instance + "." + incarnation + "." + strconv.FormatInt(now.UnixMilli(), stampBase) + "."
}

// Parse reads an id. The error is of kind fault.KindBadRequestID.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return ID{}, bad("it needs four parts with \".\" between them")
	}
	if !isName(parts[0]) || !isName(parts[1]) {
		return ID{}, bad("its instance or incarnation is not a name")
	}
	ms, err := strconv.ParseInt(parts[2], stampBase, 64)
	if err != nil || ms < 0 || strconv.FormatInt(ms, stampBase) != parts[2] {
		return ID{}, bad("its stamp is not a time")
	}
	if len(parts[3]) > MaxSuffixBytes || !isWord(parts[3]) {
		return ID{}, bad("its suffix needs 1 to 64 letters, digits and \"-\"")
	}
	return ID{Instance: parts[0], Incarnation: parts[1], IssuedAt: time.UnixMilli(ms), Suffix: parts[3]}, nil
}

// String returns the id as text.
func (id ID) String() string { return Prefix(id.Instance, id.Incarnation, id.IssuedAt) + id.Suffix }

func bad(why string) error {
	return fault.New(fault.KindBadRequestID, "the request id is malformed: %s", why)
}

func isName(s string) bool { return len(s) <= maxNameBytes && isWord(s) }

// isWord reports whether s is one or more letters, digits and "-".
func isWord(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return s != ""
}
