// Package strictyaml decodes YAML into structs. It reports every unknown key,
// missing value and value of the wrong type, with its line and with what is accepted
// instead. It performs no I/O.
package strictyaml

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxDepth bounds the nesting depth of a document.
const maxDepth = 32

// Problem is one error in a document.
type Problem struct {
	// File is the file name that was passed to Decode.
	File string
	// Line is the line number, counted from 1. Zero means that it is unknown.
	Line int
	// Key is the path of the key, such as "routes[2].pools[0].weight".
	Key string
	// Message describes what is wrong and what is accepted.
	Message string
}

// String formats p as "file:line: key: message".
func (p Problem) String() string {
	s := p.File
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d", s, p.Line)
	}
	if p.Key != "" {
		s += ": " + p.Key
	}
	return s + ": " + p.Message
}

// Secret is implemented by types whose values must not appear in messages.
type Secret interface{ Secret() }

// Lines maps the path of each key to the line of its value.
type Lines map[string]int

// Decode decodes one YAML document into out, a pointer to a struct. It returns the
// lines of the keys and every problem found. It sets out only if there are no
// problems.
// Keys are the "yaml" tags of the fields.
//
// For a number or duration whose field is tagged omitempty, zero is rejected, because
// it would be taken for the default. The key has to be omitted instead.
func Decode(file string, data []byte, out any) (Lines, []Problem) {
	body, problem := parse(file, data)
	if problem != nil {
		return nil, []Problem{*problem}
	}
	v := validator{file: file, lines: Lines{}}
	v.check("", body, reflect.TypeOf(out).Elem(), false, 0)
	if len(v.problems) > 0 {
		return v.lines, v.problems
	}
	if err := yaml.NodeToValue(body, out, yaml.Strict()); err != nil {
		return v.lines, []Problem{problemFromError(file, err)}
	}
	return v.lines, nil
}

// parse returns the body of the single document in data.
func parse(file string, data []byte) (body ast.Node, problem *Problem) {
	f, err := parser.ParseBytes(data, 0)
	if err != nil {
		p := problemFromError(file, err)
		return nil, &p
	}
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if body != nil {
			return nil, &Problem{File: file, Line: lineOf(doc.Body), Message: "only one document per file is accepted"}
		}
		body = doc.Body
	}
	if body == nil {
		return nil, &Problem{File: file, Line: 1, Message: "the file is empty"}
	}
	return body, nil
}

// problemFromError converts an error of the YAML library to a Problem.
func problemFromError(file string, err error) Problem {
	p := Problem{File: file, Message: err.Error()}
	var y yaml.Error
	if errors.As(err, &y) {
		p.Message = y.GetMessage()
		if tk := y.GetToken(); tk != nil && tk.Position != nil {
			p.Line = tk.Position.Line
		}
	}
	return p
}

// lineOf returns the line of n, or zero if it is unknown.
func lineOf(n ast.Node) int {
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 0
}

// newTextUnmarshaler returns a pointer to a new value of type t as an
// encoding.TextUnmarshaler, or false if the pointer does not implement it.
func newTextUnmarshaler(t reflect.Type) (encoding.TextUnmarshaler, bool) {
	u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	return u, ok
}

// NearestLine returns the line of the key at path, or that of its closest known
// ancestor. It returns zero if neither is known.
func (l Lines) NearestLine(path string) int {
	for path != "" {
		if n, ok := l[path]; ok {
			return n
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	return l[""]
}
