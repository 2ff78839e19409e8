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
	// Site names the site; a removal leaves it empty.
	Site string `json:"site,omitempty"`
}

// Problem is one row that was refused.
type Problem struct {
	// Row counts from 1; zero means the table as a whole.
	Row    int    `json:"row"`
	Prefix string `json:"prefix,omitempty"`
	Site   string `json:"site,omitempty"`
	Reason string `json:"reason"`
}

// String formats p on one line.
func (p Problem) String() string {
	return fmt.Sprintf("row %d: %s %s: %s", p.Row, p.Prefix, p.Site, p.Reason)
}

// maxProblems bounds the problems that one refusal lists.
const maxProblems = 100

// InvalidError lists the rows that were refused; nothing was changed. Its
// kind is fault.KindInvalidTable.
type InvalidError struct {
	Problems []Problem
	kind     error
}

// refuse returns a InvalidError, or nil when there are no problems.
func refuse(ps ...Problem) error {
	if len(ps) == 0 {
		return nil
	}
	return &InvalidError{Problems: ps, kind: fault.New(fault.KindInvalidTable, "the blocks are not valid")}
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := []string{"the blocks are not valid, nothing was changed"}
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error that carries the kind.
func (e *InvalidError) Unwrap() error { return e.kind }

// parsePrefix reads the prefix of a row, or says why it is refused.
func parsePrefix(s string) (p netip.Prefix, reason string) {
	p, err := netip.ParsePrefix(s)
	switch {
	case err != nil:
		return p, "malformed prefix; an IPv4 or IPv6 prefix such as 10.1.0.0/16 is accepted"
	case p.Addr().Is4In6():
		return p, "IPv4 in IPv6 form; write it as IPv4"
	case p != p.Masked():
		return p, fmt.Sprintf("bits are set after the prefix; %s is accepted", p.Masked())
	}
	return p, ""
}
