package block

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// Row is one row of a list of blocks.
type Row struct {
	// Prefix is an IPv4 or IPv6 prefix such as "10.1.0.0/16".
	Prefix string `json:"prefix"`
	// Site is the name of the site. It is empty in a removal.
	Site string `json:"site,omitempty"`
}

// Problem describes why one row is invalid.
type Problem struct {
	// Row is the number of the row, from 1; zero means the table as a whole.
	Row    int    `json:"row"`
	Prefix string `json:"prefix,omitempty"`
	Site   string `json:"site,omitempty"`
	Reason string `json:"reason"`
}

// String formats p on one line.
func (p Problem) String() string {
	return fmt.Sprintf("row %d: %s %s: %s", p.Row, p.Prefix, p.Site, p.Reason)
}

// maxProblems is the maximum number of problems that an InvalidError lists.
const maxProblems = 100

// InvalidError lists the invalid rows of a list or delta, which was rejected as a
// whole. Its kind is fault.KindInvalidTable.
type InvalidError struct {
	Problems []Problem
	kind     error
}

// newInvalidError returns an InvalidError, or nil when there are no problems.
func newInvalidError(ps ...Problem) error {
	if len(ps) == 0 {
		return nil
	}
	return &InvalidError{Problems: ps, kind: fault.New(fault.KindInvalidTable, "invalid address blocks")}
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := []string{"invalid address blocks, nothing was changed"}
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error of kind fault.KindInvalidTable.
func (e *InvalidError) Unwrap() error { return e.kind }

// parsePrefix parses the prefix of a row. reason is empty, or says why the prefix is
// invalid.
func parsePrefix(s string) (p netip.Prefix, reason string) {
	p, err := netip.ParsePrefix(s)
	switch {
	case err != nil:
		return p, "malformed prefix; expected an IPv4 or IPv6 prefix such as 10.1.0.0/16"
	case p.Addr().Is4In6():
		return p, "IPv4-mapped IPv6 prefix; write it as IPv4"
	case p != p.Masked():
		return p, fmt.Sprintf("the prefix has host bits set; %s is accepted", p.Masked())
	}
	return p, ""
}
