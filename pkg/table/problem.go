package table

import (
	"fmt"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// Problem is one error found in the tables.
type Problem struct {
	// File and Line are the position of the field, if the tables were read from files.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Row is the kind and name of the row, such as "route feedlog".
	Row string `json:"row,omitempty"`
	// Field is the path of the field, such as "pools[0].weight".
	Field string `json:"field,omitempty"`
	// Message describes the error and the accepted values.
	Message string `json:"message"`
	// path is the field's path in its file, such as "routes[2].pools[0].weight".
	path string
}

// String formats p on one line.
func (p Problem) String() string {
	var parts []string
	switch {
	case p.File != "" && p.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", p.File, p.Line))
	case p.File != "":
		parts = append(parts, p.File)
	}
	if p.Row != "" {
		parts = append(parts, p.Row)
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	return strings.Join(append(parts, p.Message), ": ")
}

// InvalidError lists every problem found in the tables. Its kind is
// fault.KindInvalidTable.
type InvalidError struct {
	Problems  []Problem
	kindError error
}

// NewInvalidError returns an InvalidError, or nil if there are no problems.
func NewInvalidError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems, kindError: fault.New(fault.KindInvalidTable, "the tables are not valid")}
}

// Error lists the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("the tables are not valid (%d problems)", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the error that carries the kind.
func (e *InvalidError) Unwrap() error { return e.kindError }

// convertYAMLProblems converts the problems that strictyaml reports for a document.
func convertYAMLProblems(ps []strictyaml.Problem) []Problem {
	out := make([]Problem, 0, len(ps))
	for _, p := range ps {
		out = append(out, Problem{File: p.File, Line: p.Line, Field: p.Key, Message: p.Message})
	}
	return out
}

// NewProblem returns a Problem for a field of the row with index i in tableName, which
// is "routes", "workspaces", "pools" or "regions". row is the kind and name of the row.
func NewProblem(tableName string, i int, row, field, format string, args ...any) Problem {
	return Problem{
		Row: row, Field: field, Message: fmt.Sprintf(format, args...),
		path: fmt.Sprintf("%s[%d].%s", tableName, i, field),
	}
}
