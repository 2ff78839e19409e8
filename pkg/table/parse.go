package table

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// MaxFileBytes bounds the size of a table file.
const MaxFileBytes = 16 << 20

// RoutesFile is the YAML form of the routes table.
type RoutesFile struct {
	// Version is the version that the edit was made against.
	Version uint64  `yaml:"version"`
	Routes  []Route `yaml:"routes"`
}

// PoolsFile is the YAML form of the pools table.
type PoolsFile struct {
	// Version is the version that the edit was made against.
	Version uint64   `yaml:"version"`
	Regions []Region `yaml:"regions"`
	Pools   []Pool   `yaml:"pools"`
}

// Source is a file's name and content.
type Source struct {
	Name string
	Data []byte
}

// Parsed is the outcome of reading table files.
type Parsed struct {
	// Tables is the edit as written; Tables.Version is its base version.
	Tables *Tables
	// routes and pools locate the problems of later checks.
	routes, pools located
}

// located maps the paths of one file to lines.
type located struct {
	file  string
	lines strictyaml.Lines
}

// Parse reads one or both table files. A nil source takes its table from
// base, the version that the other file names. The error is an InvalidError
// with every problem of form; Check finds those of content.
func Parse(routes, pools *Source, base *Tables) (*Parsed, error) {
	out := &Parsed{Tables: base.Clone()}
	out.Tables.Shifts = nil
	var problems []Problem
	versions := map[uint64]bool{}
	if routes != nil {
		var f RoutesFile
		lines, ps := decode(*routes, &f)
		problems = append(problems, ps...)
		out.routes = located{file: routes.Name, lines: lines}
		out.Tables.Routes = f.Routes
		versions[f.Version] = true
		out.Tables.Version = f.Version
	}
	if pools != nil {
		var f PoolsFile
		lines, ps := decode(*pools, &f)
		problems = append(problems, ps...)
		out.pools = located{file: pools.Name, lines: lines}
		out.Tables.Pools = f.Pools
		out.Tables.Regions = f.Regions
		versions[f.Version] = true
		out.Tables.Version = f.Version
	}
	if len(problems) == 0 && len(versions) > 1 {
		problems = append(problems, Problem{File: pools.Name, Line: out.pools.lines["version"], Field: "version", Message: "the two files must name the same version"})
	}
	if err := Invalid(problems); err != nil {
		return nil, err
	}
	return out, nil
}

// Check validates the tables and returns an InvalidError whose problems name
// the file and line where they are known.
func (p *Parsed) Check() error {
	return Invalid(p.Locate(p.Tables.Problems()))
}

// Locate fills in the file and line of problems found in the tables.
func (p *Parsed) Locate(problems []Problem) []Problem {
	for i := range problems {
		pr := &problems[i]
		at := p.pools
		if strings.HasPrefix(pr.path, "routes") {
			at = p.routes
		}
		pr.File = at.file
		pr.Line = at.lines.NearestLine(pr.path)
	}
	return problems
}

// decode reads one file.
func decode(src Source, out any) (strictyaml.Lines, []Problem) {
	if len(src.Data) > MaxFileBytes {
		return nil, []Problem{{File: src.Name, Message: fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes)}}
	}
	lines, ps := strictyaml.Decode(src.Name, src.Data, out)
	return lines, fromYAML(ps)
}

// FormatRoutes writes the routes table of t as YAML.
func FormatRoutes(t *Tables) ([]byte, error) {
	return format(RoutesFile{Version: t.Version, Routes: t.Routes})
}

// FormatPools writes the pools table of t as YAML.
func FormatPools(t *Tables) ([]byte, error) {
	return format(PoolsFile{Version: t.Version, Regions: t.Regions, Pools: t.Pools})
}

func format(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := yaml.NewEncoder(&b, yaml.IndentSequence(true)).Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
