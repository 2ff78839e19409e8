package strictyaml

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// validator validates a document against a type and collects the problems.
type validator struct {
	file     string
	lines    Lines
	problems []Problem
}

// addProblem records a problem at n.
func (v *validator) addProblem(key string, n ast.Node, format string, args ...any) {
	v.problems = append(v.problems, Problem{File: v.file, Line: lineOf(n), Key: key, Message: fmt.Sprintf(format, args...)})
}

// check validates n against t. If optional is set, zero is rejected because it would
// be taken for the default.
func (v *validator) check(key string, n ast.Node, t reflect.Type, optional bool, depth int) {
	if depth > maxDepth {
		v.addProblem(key, n, "nested too deeply: at most %d levels are accepted", maxDepth)
		return
	}
	v.lines[key] = lineOf(n)
	switch {
	case implementsTextUnmarshaler(t):
		v.checkText(key, n, t, optional)
	case t.Kind() == reflect.Struct:
		v.checkStruct(key, n, t, depth)
	case t.Kind() == reflect.Slice:
		v.checkList(key, n, t, depth)
	case t.Kind() == reflect.Pointer:
		v.check(key, n, t.Elem(), optional, depth)
	default:
		v.checkScalar(key, n, t, optional)
	}
}

// implementsTextUnmarshaler reports whether a pointer to t implements
// encoding.TextUnmarshaler.
func implementsTextUnmarshaler(t reflect.Type) bool {
	_, ok := newTextUnmarshaler(t)
	return ok
}

// checkText validates a scalar by unmarshaling it as text into a new value of type t.
func (v *validator) checkText(key string, n ast.Node, t reflect.Type, optional bool) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		v.addProblem(key, n, "a value such as 500ms is accepted")
		return
	}
	u, _ := newTextUnmarshaler(t)
	if err := u.UnmarshalText([]byte(fmt.Sprint(s.GetValue()))); err != nil {
		v.addProblem(key, n, "%v; a value such as 500ms or 10s is accepted", err)
		return
	}
	if optional && reflect.ValueOf(u).Elem().IsZero() {
		v.addProblem(key, n, "zero is not accepted; omit the key to use the default")
	}
}

// checkStruct validates a mapping against a struct.
func (v *validator) checkStruct(key string, n ast.Node, t reflect.Type, depth int) {
	entries, ok := mappingEntries(n)
	if !ok {
		v.addProblem(key, n, "a mapping with the keys %s is accepted", acceptedKeys(t))
		return
	}
	seen := map[string]bool{}
	for _, e := range entries {
		name, ok := e.Key.(*ast.StringNode)
		if !ok {
			v.addProblem(key, e.Key, "%q is not a key; accepted: %s", e.Key.String(), acceptedKeys(t))
			continue
		}
		path := joinPath(key, name.Value)
		f, ok := fieldByKey(t, name.Value)
		if !ok {
			v.addProblem(path, e.Key, "unknown key; accepted: %s", acceptedKeys(t))
			continue
		}
		if seen[name.Value] {
			v.addProblem(path, e.Key, "duplicate key")
			continue
		}
		seen[name.Value] = true
		e.Value = exponentAsFloat(e.Value, f.Type)
		v.check(path, e.Value, f.Type, strings.Contains(f.Tag.Get("yaml"), ",omitempty"), depth+1)
	}
}

// checkList validates a sequence against a slice.
func (v *validator) checkList(key string, n ast.Node, t reflect.Type, depth int) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		v.addProblem(key, n, "a list is accepted")
		return
	}
	for i, item := range list.Values {
		v.check(fmt.Sprintf("%s[%d]", key, i), item, t.Elem(), false, depth+1)
	}
}

// checkScalar validates a scalar against a basic type.
func (v *validator) checkScalar(key string, n ast.Node, t reflect.Type, optional bool) {
	expected := ""
	switch t.Kind() {
	case reflect.String:
		switch n.(type) {
		case *ast.StringNode, *ast.LiteralNode:
		default:
			expected = "text is accepted (quote it if it looks like a number)"
		}
	case reflect.Bool:
		if _, ok := n.(*ast.BoolNode); !ok {
			expected = "true or false is accepted"
		}
	case reflect.Float32, reflect.Float64:
		switch n.(type) {
		case *ast.FloatNode, *ast.IntegerNode:
		default:
			expected = "a number is accepted"
		}
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Uint64, reflect.Uint32, reflect.Uint:
		if _, ok := n.(*ast.IntegerNode); !ok {
			expected = "a whole number is accepted"
		}
	default:
		expected = "this type is not supported"
	}
	if expected != "" {
		given := describe(n)
		if isSecret(t) {
			given = "another kind of value"
		}
		v.addProblem(key, n, "%s is given; %s", given, expected)
		return
	}
	if optional && isZeroNumber(n) {
		v.addProblem(key, n, "zero is not accepted; omit the key to use the default")
	}
}

// isSecret reports whether values of type t are kept out of messages.
func isSecret(t reflect.Type) bool { return t.Implements(reflect.TypeFor[Secret]()) }

// exponentPattern matches numbers with an exponent. In YAML 1.2 the fraction is
// optional; the YAML library takes those without one for strings.
var exponentPattern = regexp.MustCompile(`^[-+]?[0-9]+(\.[0-9]*)?[eE][-+]?[0-9]+$`)

// exponentAsFloat returns n as a float node if t is float64 or a pointer to it and n
// is an unquoted number with an exponent. Otherwise it returns n unchanged.
func exponentAsFloat(n ast.Node, t reflect.Type) ast.Node {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	s, ok := n.(*ast.StringNode)
	if t.Kind() != reflect.Float64 || !ok || s.Token.Type != token.StringType || !exponentPattern.MatchString(s.Value) {
		return n
	}
	v, err := strconv.ParseFloat(s.Value, 64)
	if err != nil {
		return n
	}
	return &ast.FloatNode{BaseNode: &ast.BaseNode{}, Token: s.Token, Value: v}
}

// isZeroNumber reports whether n is the number zero.
func isZeroNumber(n ast.Node) bool {
	switch v := n.(type) {
	case *ast.IntegerNode:
		return fmt.Sprint(v.Value) == "0"
	case *ast.FloatNode:
		return v.Value == 0
	}
	return false
}

// describe returns a description of n's value for messages.
func describe(n ast.Node) string {
	const maxLength = 40
	switch n.(type) {
	case *ast.NullNode:
		return "no value"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		return "an anchor, alias or tag"
	}
	s := n.String()
	if len(s) > maxLength {
		s = s[:maxLength] + "..."
	}
	return fmt.Sprintf("%q", s)
}

// mappingEntries returns the entries of n, and false if n is not a mapping.
func mappingEntries(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch v := n.(type) {
	case *ast.MappingNode:
		return v.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{v}, true
	}
	return nil, false
}

// fieldByKey returns the field of t with the given key, or false if there is none.
func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if k := keyOf(t.Field(i)); k != "" && k == key {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// keyOf returns the key of f, or "" if it has none.
func keyOf(f reflect.StructField) string {
	k, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if k == "-" {
		return ""
	}
	return k
}

// acceptedKeys returns the keys of t, separated by commas.
func acceptedKeys(t reflect.Type) string {
	var keys []string
	for i := range t.NumField() {
		if k := keyOf(t.Field(i)); k != "" {
			keys = append(keys, k)
		}
	}
	return strings.Join(keys, ", ")
}

// joinPath appends a key to the path of its parent.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
