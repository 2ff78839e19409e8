package catalog

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// ConfigPatch is the change to a configuration from the one whose digest is Base. Instances
// may hold different configurations under one version of the entry: after a restore of the
// store, those that know a later one keep it.
type ConfigPatch struct {
	Base uint64 `json:"base"`
	// Version and Services are those of the new configuration.
	Version    uint64                          `json:"version"`
	Services   []Service                       `json:"services"`
	Routes     table.RowPatch[table.Route]     `json:"routes,omitzero"`
	Workspaces table.RowPatch[table.Workspace] `json:"workspaces,omitzero"`
}

// apply returns the configuration that the patch makes of base.
func (p *ConfigPatch) apply(base *Config) *Config {
	return &Config{
		Version: p.Version, Services: p.Services,
		Routes:     table.ApplyRoutePatch(base.Routes, p.Routes),
		Workspaces: table.ApplyWorkspacePatch(base.Workspaces, p.Workspaces),
	}
}

// digest returns a hash of the configuration, which is computed once; zero without one.
func (s *storedEntry) digest() uint64 {
	if s.configDigest == 0 && s.Config != nil {
		s.configDigest = digestOf(s.Config)
	}
	return s.configDigest
}

// digestOf returns a hash of c, which is not zero.
func digestOf(c *Config) uint64 {
	encoded, err := json.Marshal(c)
	if err != nil {
		// Nothing is equal to a configuration that has no encoding.
		return 0
	}
	return max(1, xxhash.Sum64(encoded))
}

// maxPatchedFraction is the largest fraction of the routes and workspaces that a patch may set; beyond it
// the whole configuration is hardly larger.
const maxPatchedFraction = 0.75

// maxPastConfigs is the number of earlier configurations from which there are patches: in a
// series of changes, members are some versions behind.
const maxPastConfigs = 4

// pastConfig is an earlier configuration of an entry.
type pastConfig struct {
	config *Config
	// version is that of the entry that held it.
	version uint64
	// patch leads from it to the present one; nil if it is not worth it. It is computed once.
	patch    *ConfigPatch
	computed bool
}

// pastWith returns the earlier configurations of an entry that takes the place of s, or of s
// itself under a later version.
func (s *storedEntry) pastWith() []*pastConfig {
	past := []*pastConfig{{config: s.Config, version: s.Version}}
	for _, earlier := range s.past[:min(len(s.past), maxPastConfigs-1)] {
		past = append(past, &pastConfig{config: earlier.config, version: earlier.version})
	}
	return past
}

// patchSince returns the patch from the configuration that a catalog has which is complete up
// to a version, or nil if there is none or it is not worth it.
func (s *storedEntry) patchSince(version uint64) *ConfigPatch {
	for _, earlier := range s.past {
		if earlier.version <= version {
			return earlier.patchTo(s.Config)
		}
	}
	return nil
}

// patchTo returns the patch to the configuration c.
func (p *pastConfig) patchTo(c *Config) *ConfigPatch {
	if p.computed {
		return p.patch
	}
	p.computed = true
	routes, okRoutes := table.NewRoutePatch(p.config.Routes, c.Routes)
	workspaces, okWorkspaces := table.NewWorkspacePatch(p.config.Workspaces, c.Workspaces)
	if !okRoutes || !okWorkspaces || !understoodByAll(p.config, c) {
		return nil
	}
	if set, all := len(routes.Set)+len(workspaces.Set), len(c.Routes)+len(c.Workspaces); float64(set) <= maxPatchedFraction*float64(all) {
		p.patch = &ConfigPatch{Base: digestOf(p.config), Version: c.Version, Services: c.Services, Routes: routes, Workspaces: workspaces}
	}
	return p.patch
}

// understoodByAll reports whether a patch from old to new is safe for instances of an earlier
// release, which would apply it without its workspaces. They have old without workspaces, so
// that its digest is another one unless old has none.
func understoodByAll(old, new *Config) bool {
	return len(old.Workspaces) > 0 || len(new.Workspaces) == 0
}

// Patched returns entries, which EntriesAfter has returned for p, with patches in place of
// configurations for an instance that has all entries up to p, and whether there are any.
func (c *Catalog) Patched(entries []Entry, p Position) (out []Entry, ok bool) {
	for i := range entries {
		e := &entries[i]
		stored := c.entries[e.Topic][e.Key]
		if e.Config == nil || stored == nil || stored.Config != e.Config {
			continue
		}
		patch := stored.patchSince(p[e.Topic])
		if patch == nil {
			continue
		}
		if !ok {
			out, ok = append([]Entry(nil), entries...), true
		}
		out[i].Config, out[i].Patch = nil, patch
	}
	return out, ok
}

// WithoutOperators returns the entries of other topics than Operators, and p without its
// position: what an instance can use of entries whose patches it can't apply.
func (c *Catalog) WithoutOperators(entries []Entry, p Position) ([]Entry, Position) {
	out := make([]Entry, 0, len(entries))
	for _, e := range entries {
		if e.Topic != Operators {
			out = append(out, e)
		}
	}
	p[Operators] = c.position[Operators]
	return out, p
}

// CanApply reports whether the patches among entries are for the configurations of the
// catalog, or older than these. If not, the catalog needs the whole configuration.
func (c *Catalog) CanApply(entries []Entry) bool {
	for i := range entries {
		e := &entries[i]
		if e.Patch == nil || !e.Topic.valid() {
			continue
		}
		old := c.entries[e.Topic][e.Key]
		if old == nil || (e.Version > old.Version || old.isOlderThanPatch(e.Patch)) && !old.isBaseOf(e.Patch) {
			return false
		}
	}
	return true
}

// isOlderThanPatch reports whether p results in a configuration of a higher number than that of
// s.
func (s *storedEntry) isOlderThanPatch(p *ConfigPatch) bool {
	return s.Config != nil && p.Version > s.Config.Version
}

// isBaseOf reports whether p is a patch for the configuration of s.
func (s *storedEntry) isBaseOf(p *ConfigPatch) bool {
	return s.Config != nil && p.Base != 0 && s.digest() == p.Base
}

// raise gives the entry a later version without a change of its content.
func (s *storedEntry) raise(version uint64) {
	if s.Config != nil {
		s.past = s.pastWith()
	}
	s.Version = version
}

// withConfig returns e with the configuration that its patch results in. ok is false if the
// patch is not for the configuration of the catalog.
func (c *Catalog) withConfig(e *Entry) (full *Entry, ok bool) {
	if e.Patch == nil {
		return e, true
	}
	old := c.entries[e.Topic][e.Key]
	if old == nil || !old.isBaseOf(e.Patch) {
		return nil, false
	}
	applied := *e
	applied.Config, applied.Patch = e.Patch.apply(old.Config), nil
	return &applied, true
}
