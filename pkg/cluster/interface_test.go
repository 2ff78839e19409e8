package cluster

import "github.com/jacinthramp/jacinthramp/pkg/node"

// Cluster implements the interfaces that the request path of an instance requires.
var (
	_ node.Cluster  = (*Cluster)(nil)
	_ node.Attacher = (*Cluster)(nil)
)
