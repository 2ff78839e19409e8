package table

import (
	"fmt"
	"slices"
)

// workspaceRow is a row of the workspaces section as files have it.
type workspaceRow struct {
	Name       string      `yaml:"name"`
	KeyDigests []KeyDigest `yaml:"key_digests,omitempty"`
	// Keys are keys in plain text, which only files that are read have: they are replaced by
	// their digests.
	Keys     []plainKey `yaml:"keys,omitempty"`
	Priority Priority   `yaml:"priority,omitempty"`
	Rate     float64    `yaml:"rate,omitempty"`
	Burst    float64    `yaml:"burst,omitempty"`
	Regions  []string   `yaml:"regions,omitempty"`
}

// plainKey is a key in plain text.
type plainKey string

// Secret keeps the key out of messages about the file; see strictyaml.Secret.
func (plainKey) Secret() {}

// workspacePath returns the path of the workspace with index i in its file.
func workspacePath(i int) string { return fmt.Sprintf("workspaces[%d]", i) }

// workspacesOf returns the workspaces that rows describe, with digests in place of plain
// keys, and the problems of these keys.
func workspacesOf(rows []workspaceRow, source sourceLines) (workspaces []Workspace, problems []Problem) {
	for i, r := range rows {
		w := Workspace{Name: r.Name, Keys: r.KeyDigests, Priority: r.Priority, Rate: r.Rate, Burst: r.Burst, Regions: r.Regions}
		for j, key := range r.Keys {
			field := fmt.Sprintf("keys[%d]", j)
			if !IsValidKey(string(key)) {
				problems = append(problems, Problem{
					File: source.file, Line: source.lines.NearestLine(workspacePath(i) + "." + field), Row: "workspace " + r.Name, Field: field,
					Message: fmt.Sprintf("the key is not valid; 1 to %d visible ASCII characters without quotes and commas are accepted", MaxKeyBytes),
				})
				continue
			}
			if digest := DigestKey(string(key)); !slices.Contains(w.Keys, digest) {
				w.Keys = append(w.Keys, digest)
			}
		}
		workspaces = append(workspaces, w)
	}
	return workspaces, problems
}

// workspaceRows returns workspaces as files have them.
func workspaceRows(workspaces []Workspace) []workspaceRow {
	var rows []workspaceRow
	for _, w := range workspaces {
		rows = append(rows, workspaceRow{Name: w.Name, KeyDigests: w.Keys, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst, Regions: w.Regions})
	}
	return rows
}
