// Package strictyaml decodes YAML into typed structs and reports every key
// that is unknown, missing its value or of the wrong type with its line and
// what is accepted in its place. It does no I/O.
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

// maxDepth bounds the nesting of a document.
const maxDepth = 32

// Problem is one fault of a document.
type Problem struct {
	// File is the name given to Decode.
	File string
	// Line counts from 1; zero means that the line is not known.
	Line int
	// Key is the path of the key, such as "routes[2].pools[0].weight".
	Key string
	// Message says what is wrong and what is accepted.
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

// Lines maps the path of each key to the line of its value.
type Lines map[string]int

// Decode reads one YAML document into out, a pointer to a struct. It returns
// the lines of the keys, and every problem found; out is only filled when
// there is none. Keys are the "yaml" tags of the fields.
//
// A number or time span whose field is marked omitempty must be left out
// rather than written as zero, because zero stands for its default.
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

// parse returns the body of the only document of data.
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
			return nil, &Problem{File: file, Line: lineOf(doc.Body), Message: "only one document a file is accepted"}
		}
		body = doc.Body
	}
	if body == nil {
		return nil, &Problem{File: file, Line: 1, Message: "the file is empty"}
	}
	return body, nil
}

// problemFromError turns an error of the YAML library into a Problem.
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

// lineOf returns the line of n, or zero.
func lineOf(n ast.Node) int {
	if tk := n.GetToken(); tk != nil && tk.Position != nil {
		return tk.Position.Line
	}
	return 0
}

// newTextUnmarshaler returns a new value of type t as a TextUnmarshaler, if it is one.
func newTextUnmarshaler(t reflect.Type) (encoding.TextUnmarshaler, bool) {
	u, ok := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	return u, ok
}

// NearestLine returns the line of the key at path, or of the closest key that
// encloses it, or zero.
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
