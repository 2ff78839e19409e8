package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// Workspace is one row of the workspaces section: callers that identify themselves with
// the same keys and share a quota, a priority and allowed regions.
type Workspace struct {
	// Name identifies the workspace. Targets receive it with each of its requests.
	// Required, unique.
	Name string `yaml:"name" json:"name"`
	// Keys are the digests of the keys of the workspace. A key belongs to one workspace.
	Keys []KeyDigest `yaml:"key_digests" json:"keys"`
	// Priority takes the place of the priority of the route. Default: that of the route.
	Priority Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
	// Rate is the number of requests per second that all instances together accept from
	// the workspace, and Burst how many more at once. Rate zero means no limit.
	Rate  float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty"`
	// Regions are the regions that may serve the workspace, besides the limits of the
	// route; empty means all. It has an effect only in direct dispatch.
	Regions []string `yaml:"regions,omitempty" json:"regions,omitempty"`
}

// Bounds of the workspaces section.
const (
	MaxWorkspaces = 100_000
	// MaxWorkspaceKeys is the maximum number of keys of all workspaces together.
	MaxWorkspaceKeys = 100_000
	// MaxKeyBytes is the maximum length of a key.
	MaxKeyBytes = 512
)

// KeyDigest is the digest of a workspace's key. It takes the place of the key everywhere
// but in the header of the caller's request. Empty means no key.
type KeyDigest string

const (
	// keyDigestPrefix keeps YAML from taking digests for numbers.
	keyDigestPrefix = "sha256-"
	// keyDigestBytes is the number of bytes of the hash that a digest has: enough that no
	// two keys have the same.
	keyDigestBytes = 16
)

// DigestKey returns the digest of key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(keyDigestPrefix + hex.EncodeToString(sum[:keyDigestBytes]))
}

// Secret keeps what stands in the place of a digest out of messages: it may be a key.
func (KeyDigest) Secret() {}

// IsValid reports whether d has the form of the digests that DigestKey returns.
func (d KeyDigest) IsValid() bool {
	const length = len(keyDigestPrefix) + 2*keyDigestBytes
	if len(d) != length || d[:len(keyDigestPrefix)] != keyDigestPrefix {
		return false
	}
	for _, c := range []byte(d[len(keyDigestPrefix):]) {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f') {
			return false
		}
	}
	return true
}

// IsValidKey reports whether the field Authorization can carry key: 1 to MaxKeyBytes
// visible ASCII characters. Quotes and commas, which separate parameters there, are not
// accepted.
func IsValidKey(key string) bool {
	for _, c := range []byte(key) {
		if c <= ' ' || c >= 0x7f || c == '"' || c == ',' {
			return false
		}
	}
	return key != "" && len(key) <= MaxKeyBytes
}

// Workspace returns the workspace with the given name, or nil.
func (t *Tables) Workspace(name string) *Workspace {
	for i := range t.Workspaces {
		if t.Workspaces[i].Name == name {
			return &t.Workspaces[i]
		}
	}
	return nil
}

// reportProblem records a problem of a field of the workspace with index i.
type reportProblem func(i int, field, format string, args ...any)

// CheckWorkspaces reports the problems of the workspaces, except for those of their regions
// and of the form of their names.
func CheckWorkspaces(workspaces []Workspace, report reportProblem) {
	if len(workspaces) > MaxWorkspaces {
		report(MaxWorkspaces, "name", "there are %d workspaces; at most %d are accepted", len(workspaces), MaxWorkspaces)
		return
	}
	checkKeys(workspaces, report)
	for i := range workspaces {
		workspaces[i].checkFields(func(field, format string, args ...any) { report(i, field, format, args...) })
	}
}

// checkKeys reports malformed digests and keys that are listed twice.
func checkKeys(workspaces []Workspace, report reportProblem) {
	ownerByKey := make(map[KeyDigest]string)
	for i := range workspaces {
		w := &workspaces[i]
		for _, key := range w.Keys {
			owner, listed := ownerByKey[key]
			switch {
			case !key.IsValid():
				report(i, "key_digests", "a digest is malformed; %s and %d hexadecimal digits in lower case are accepted", keyDigestPrefix, 2*keyDigestBytes)
			case listed:
				report(i, "key_digests", "workspace %q already has the key with the digest %s", owner, key)
			case len(ownerByKey) == MaxWorkspaceKeys:
				report(i, "key_digests", "there are more than %d keys in all workspaces", MaxWorkspaceKeys)
				return
			default:
				ownerByKey[key] = w.Name
			}
		}
	}
}

// checkFields reports the problems of fields that don't depend on other rows.
func (w *Workspace) checkFields(report func(field, format string, args ...any)) {
	switch w.Priority {
	case "", PriorityHigh, PriorityNormal, PriorityLow:
	default:
		report("priority", "%q is unknown; accepted: %s, %s, %s", w.Priority, PriorityHigh, PriorityNormal, PriorityLow)
	}
	if !(w.Rate >= 0 && w.Rate <= MaxRate) {
		report("rate", "%v is out of range; a rate from 0 to %v requests per second is accepted", w.Rate, float64(MaxRate))
	}
	if !(w.Burst >= 0 && w.Burst <= MaxRate) {
		report("burst", "%v is out of range; 0 to %v requests are accepted", w.Burst, float64(MaxRate))
	}
}

// checkWorkspaces checks the workspaces section.
func (v *validator) checkWorkspaces() {
	workspaces := v.tables.Workspaces
	report := func(i int, field, format string, args ...any) {
		v.addProblem("workspace "+workspaces[i].Name, workspacePath(i), field, format, args...)
	}
	CheckWorkspaces(workspaces, report)
	regions := make(map[string]bool, len(v.tables.Regions))
	for _, r := range v.tables.Regions {
		regions[r.Name] = true
	}
	seen := map[string]bool{}
	for i := range workspaces {
		v.checkName(seen, "workspace "+workspaces[i].Name, workspacePath(i), "name", workspaces[i].Name)
		for _, name := range workspaces[i].Regions {
			if !regions[name] {
				report(i, "regions", "region %q is not defined", name)
			}
		}
	}
}
