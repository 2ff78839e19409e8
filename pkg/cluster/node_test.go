package cluster

import "github.com/jacinthramp/jacinthramp/pkg/node"

// A Cluster is what an instance's path plugs in.
var (
	_ node.Cluster  = (*Cluster)(nil)
	_ node.Attacher = (*Cluster)(nil)
)
