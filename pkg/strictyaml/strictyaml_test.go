package strictyaml

import (
	"strings"
	"testing"
	"time"
)

// duration implements encoding.TextUnmarshaler.
type duration time.Duration

func (u *duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*u = duration(d)
	return err
}

type inner struct {
	Name  string  `yaml:"name"`
	Ratio float64 `yaml:"ratio,omitempty"`
}

type document struct {
	On      bool     `yaml:"on"`
	Count   int      `yaml:"count,omitempty"`
	Wait    duration `yaml:"wait,omitempty"`
	Part    inner    `yaml:"part"`
	Parts   []inner  `yaml:"parts"`
	Maybe   *float64 `yaml:"maybe"`
	Skipped string   `yaml:"-"`
}

func TestValidDocumentIsDecodedWithItsLines(t *testing.T) {
	var d document
	text := "on: true\ncount: 3\nwait: 2s\npart:\n  name: a\nparts:\n  - {name: b, ratio: 1e-3}\n  - name: '7'\nmaybe: 2e6\n"
	lines, problems := Decode("f", []byte(text), &d)
	if problems != nil {
		t.Fatal(problems)
	}
	if !d.On || d.Count != 3 || time.Duration(d.Wait) != 2*time.Second || d.Parts[0].Ratio != 0.001 || d.Parts[1].Name != "7" || *d.Maybe != 2e6 {
		t.Fatalf("document = %+v", d)
	}
	for path, want := range map[string]int{"count": 2, "part.name": 5, "parts[1].name": 8, "parts[1].ratio": 8, "nowhere.else": 1} {
		if got := lines.NearestLine(path); got != want {
			t.Errorf("line of %s = %d, want %d", path, got, want)
		}
	}
}

func TestInvalidDocumentsAreRejectedWithLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":     {"on: true\nof: 1", "f:2: of: unknown key; accepted: on, count, wait, part, parts, maybe"},
		"ignored field":   {"Skipped: a", "unknown key"},
		"duplicate key":   {"on: true\non: true", "f:2"},
		"zero":            {"count: 0", "f:1: count: zero is not accepted; omit the key"},
		"zero duration":   {"wait: 0s", "f:1: wait: zero is not accepted"},
		"fraction":        {"count: 1.5", "a whole number is accepted"},
		"text for number": {"count: many", `"many" is given; a whole number`},
		"quoted exponent": {"maybe: '2e6'", "a number is accepted"},
		"number for text": {"part: {name: 7}", "text is accepted (quote it"},
		"text for bool":   {"on: 'true'", "true or false is accepted"},
		"no value":        {"count:", "no value is given"},
		"list for struct": {"part: [a]", "a mapping with the keys name, ratio is accepted"},
		"struct for list": {"parts: {name: a}", "a list is accepted"},
		"alias":           {"part: &p {name: a}\nparts: [*p]", "f:1: part"},
		"merge key":       {"part:\n  <<: {name: a}", "is not a key"},
		"two documents":   {"on: true\n---\non: false", "only one document"},
		"no document":     {"# only a comment\n", "f"},
		"invalid YAML":    {"on: [", "f:1"},
	} {
		t.Run(name, func(t *testing.T) {
			var d document
			_, problems := Decode("f", []byte(c.text), &d)
			if len(problems) == 0 || !strings.Contains(problems[0].String(), c.want) {
				t.Fatalf("problems = %v, want the first to contain %q", problems, c.want)
			}
		})
	}
}

// nestedList is a list that may be nested to any depth.
type nestedList []nestedList

// TestDeepNestingIsBounded decodes lists at and beyond the bound. The key adds
// one level: the empty list in depth brackets is at that depth.
func TestDeepNestingIsBounded(t *testing.T) {
	for depth, accepted := range map[int]bool{1: true, maxDepth: true, maxDepth + 1: false, 5000: false} {
		var d struct {
			Next nestedList `yaml:"next"`
		}
		text := "next: " + strings.Repeat("[", depth) + strings.Repeat("]", depth)
		_, problems := Decode("f", []byte(text), &d)
		if accepted && len(problems) != 0 {
			t.Errorf("depth %d: %v", depth, problems)
		}
		if !accepted && (len(problems) != 1 || !strings.Contains(problems[0].Message, "nested too deeply")) {
			t.Errorf("depth %d: problems = %v, want one for the depth", depth, problems)
		}
	}
}
