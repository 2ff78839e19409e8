package demo

import (
	"github.com/jacinthramp/jacinthramp/pkg/load"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// callers are the members that send the traffic, with the keys of their workspaces.
var callers = []load.Member{
	{Name: "zadruga-mura", Key: "demo-key-of-mura"},
	{Name: "zadruga-sava", Key: "demo-key-of-sava"},
	{Name: "zadruga-soca", Key: "demo-key-of-soca"},
}

// workspaces returns two workspaces: one of the first caller, and one that the others share,
// each with a key of its own.
func workspaces() []table.Workspace {
	return []table.Workspace{
		{Name: "inland", Keys: digests(callers[:1])},
		{Name: "coast", Keys: digests(callers[1:])},
	}
}

// digests returns the digests of the members' keys.
func digests(members []load.Member) []table.KeyDigest {
	var keys []table.KeyDigest
	for _, m := range members {
		keys = append(keys, table.DigestKey(string(m.Key)))
	}
	return keys
}
