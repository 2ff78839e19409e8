package cluster

import path "github.com/jacinthramp/jacinthramp/pkg/node"

// Cluster implements the interfaces that the request path of an instance requires.
var (
	_ path.Cluster  = (*Cluster)(nil)
	_ path.Attacher = (*Cluster)(nil)
)
