// Package outcome implements at-most-once execution of non-idempotent requests:
// the format of their ids, and the registry of outcomes that an instance keeps for
// the ids that name it. The package performs no I/O and takes the current time as
// an argument.
package outcome

import (
	"strconv"
	"strings"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// ID is the parsed id of a request, "<instance>.<incarnation>.<issued at>.<suffix>".
// The first three parts form the prefix that a lookup response contains; the caller
// chooses the suffix.
type ID struct {
	// Instance and Incarnation identify the home instance, the only one that may
	// run the request.
	Instance    string
	Incarnation string
	// IssuedAt is when the prefix was issued, with millisecond precision.
	IssuedAt time.Time
	// Suffix distinguishes the ids with the same prefix.
	Suffix string
}

const (
	// MaxSuffixBytes is the maximum length of a suffix.
	MaxSuffixBytes = 64
	// maxNameBytes is the maximum length of an instance id and of an incarnation.
	maxNameBytes = 63
	// issuedAtBase is the base in which IssuedAt is encoded, as milliseconds since
	// the Unix epoch.
	issuedAtBase = 36
)

// Prefix returns the prefix of ids that are issued at now and have the given
// incarnation as their home instance.
func Prefix(instance, incarnation string, now time.Time) string {
	return instance + "." + incarnation + "." + strconv.FormatInt(now.UnixMilli(), issuedAtBase) + "."
}

// Parse parses an id. Only the canonical form that ID.String returns is accepted.
// The error is of kind fault.KindBadRequestID.
func Parse(text string) (ID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return ID{}, malformedID("expected four parts separated by \".\"")
	}
	if !isInstanceName(parts[0]) || !isInstanceName(parts[1]) {
		return ID{}, malformedID("the instance and the incarnation must each be 1 to 63 letters, digits and \"-\"")
	}
	ms, err := strconv.ParseInt(parts[2], issuedAtBase, 64)
	if err != nil || ms < 0 || strconv.FormatInt(ms, issuedAtBase) != parts[2] {
		return ID{}, malformedID("the third part must be a time in base-36 milliseconds")
	}
	if len(parts[3]) > MaxSuffixBytes || !isIDPart(parts[3]) {
		return ID{}, malformedID("the suffix must be 1 to 64 letters, digits and \"-\"")
	}
	return ID{Instance: parts[0], Incarnation: parts[1], IssuedAt: time.UnixMilli(ms), Suffix: parts[3]}, nil
}

// String returns the text form of the id.
func (id ID) String() string { return Prefix(id.Instance, id.Incarnation, id.IssuedAt) + id.Suffix }

func malformedID(reason string) error {
	return fault.New(fault.KindBadRequestID, "malformed request id: %s", reason)
}

func isInstanceName(s string) bool { return len(s) <= maxNameBytes && isIDPart(s) }

// isIDPart reports whether s consists of one or more ASCII letters, digits and "-".
func isIDPart(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c != '-' && (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') {
			return false
		}
	}
	return s != ""
}
