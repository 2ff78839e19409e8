package cluster

import path "github.com/jacinthramp/jacinthramp/pkg/node"

// A Cluster is what an instance's path plugs in.
var (
	_ path.Cluster  = (*Cluster)(nil)
	_ path.Attacher = (*Cluster)(nil)
)
