package table

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"

	"github.com/jacinthramp/jacinthramp/pkg/strictyaml"
)

// MaxFileBytes is the maximum size of a table file.
const MaxFileBytes = 16 << 20

// RoutesFile is the content of a file with the routes table.
type RoutesFile struct {
	// Version is the version that the edit is based on.
	Version    uint64         `yaml:"version"`
	Routes     []Route        `yaml:"routes"`
	Workspaces []workspaceRow `yaml:"workspaces,omitempty"`
}

// PoolsFile is the content of a file with the pools table.
type PoolsFile struct {
	// Version is the version that the edit is based on.
	Version uint64   `yaml:"version"`
	Regions []Region `yaml:"regions"`
	Pools   []Pool   `yaml:"pools"`
}

// Source is a file's name and content.
type Source struct {
	Name string
	Data []byte
}

// ParsedFiles holds the tables read from one or both table files.
type ParsedFiles struct {
	// Tables is the edit without defaults. Tables.Version is its base version.
	Tables *Tables
	// routes and pools give the file and line of problems found later.
	routes, pools sourceLines
}

// sourceLines maps the paths of the fields of one file to line numbers.
type sourceLines struct {
	file  string
	lines strictyaml.Lines
}

// Parse reads one or both table files. If a source is nil, its table is that of base,
// the version that the other file is based on. The error is an InvalidError with every
// problem in the format of the files, such as an unknown key; Validate checks the
// values.
func Parse(routes, pools *Source, base *Tables) (*ParsedFiles, error) {
	out := &ParsedFiles{Tables: base.Clone()}
	out.Tables.Shifts = nil
	var problems []Problem
	versions := map[uint64]bool{}
	if routes != nil {
		var f RoutesFile
		lines, ps := decodeFile(*routes, &f)
		problems = append(problems, ps...)
		out.routes = sourceLines{file: routes.Name, lines: lines}
		out.Tables.Routes = f.Routes
		out.Tables.Workspaces, ps = workspacesOf(f.Workspaces, out.routes)
		problems = append(problems, ps...)
		versions[f.Version] = true
		out.Tables.Version = f.Version
	}
	if pools != nil {
		var f PoolsFile
		lines, ps := decodeFile(*pools, &f)
		problems = append(problems, ps...)
		out.pools = sourceLines{file: pools.Name, lines: lines}
		out.Tables.Pools = f.Pools
		out.Tables.Regions = f.Regions
		versions[f.Version] = true
		out.Tables.Version = f.Version
	}
	if len(problems) == 0 && len(versions) > 1 {
		problems = append(problems, Problem{File: pools.Name, Line: out.pools.lines["version"], Field: "version", Message: "both files must have the same version"})
	}
	if err := NewInvalidError(problems); err != nil {
		return nil, err
	}
	return out, nil
}

// Validate checks the tables as Tables.Validate does and adds the file and line to each
// problem where they are known.
func (p *ParsedFiles) Validate() error {
	return NewInvalidError(p.Locate(p.Tables.Problems()))
}

// Locate sets the file and line of problems found in p.Tables and returns problems.
func (p *ParsedFiles) Locate(problems []Problem) []Problem {
	for i := range problems {
		pr := &problems[i]
		source := p.pools
		if strings.HasPrefix(pr.path, "routes") || strings.HasPrefix(pr.path, "workspaces") {
			source = p.routes
		}
		pr.File = source.file
		pr.Line = source.lines.NearestLine(pr.path)
	}
	return problems
}

// decodeFile decodes src into out and returns the lines of its fields and the problems.
func decodeFile(src Source, out any) (strictyaml.Lines, []Problem) {
	if len(src.Data) > MaxFileBytes {
		return nil, []Problem{{File: src.Name, Message: fmt.Sprintf("the file is larger than %d bytes", MaxFileBytes)}}
	}
	lines, ps := strictyaml.Decode(src.Name, src.Data, out)
	return lines, convertYAMLProblems(ps)
}

// FormatRoutes returns the routes table of t as YAML.
func FormatRoutes(t *Tables) ([]byte, error) {
	return encodeYAML(RoutesFile{Version: t.Version, Routes: t.Routes, Workspaces: workspaceRows(t.Workspaces)})
}

// FormatPools returns the pools table of t as YAML.
func FormatPools(t *Tables) ([]byte, error) {
	return encodeYAML(PoolsFile{Version: t.Version, Regions: t.Regions, Pools: t.Pools})
}

// encodeYAML encodes v with indented sequences.
func encodeYAML(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := yaml.NewEncoder(&b, yaml.IndentSequence(true)).Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
