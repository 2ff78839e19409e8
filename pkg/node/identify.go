package node

import (
	"net/http"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// callerKey is the key with which a caller identifies its workspace.
type callerKey struct {
	// digest is empty without a key.
	digest table.KeyDigest
	// err is set if the field with the key can't be read. It counts only if the tables have
	// workspaces.
	err error
	// forwarded is set if another instance, whose tables have workspaces, has sent digest in
	// place of the caller's field.
	forwarded bool
	// tablesVersion is the version of the tables of the instance that has forwarded the
	// request; zero if none has.
	tablesVersion uint64
}

// readKey returns the key of a caller's request.
func (n *Node) readKey(r *http.Request) (key callerKey) {
	key.digest, key.err = caller.ReadKey(r.Header, n.dialect.KeyScheme)
	return key
}

// readForwardedKey returns the key of a request that another instance forwarded: the caller's
// fields are as they came if the tables of that instance have no workspaces.
func (n *Node) readForwardedKey(r *http.Request) (key callerKey) {
	key.digest, key.forwarded, key.err = hop.ReadKey(r.Header)
	if !key.forwarded {
		key = n.readKey(r)
	}
	key.tablesVersion = hop.ReadTablesVersion(r.Header)
	return key
}

// identify sets the workspace of the request by the tables in force. It reports false after
// it has refused a request that these don't serve.
func (x *exchange) identify() bool {
	var kind fault.Kind
	x.keysInUse, kind = x.node.core.Identify(&x.req)
	switch {
	case x.key.forwarded && !x.keysInUse, kind == fault.KindUnknownKey && x.isAheadOfTables():
		x.refuse(caller.Refusal{Kind: fault.KindHopRefused, Message: "the tables of this instance are older than those by which the request was forwarded"})
	case x.keysInUse && x.key.err != nil:
		x.refuse(caller.RefusalFromError(x.key.err))
	case kind == fault.KindUnknownKey:
		x.refuse(caller.Refusal{Kind: kind, Message: "the request has no key, or one of no workspace"})
	case kind != fault.KindNone:
		x.refuse(caller.Refusal{Kind: kind, Message: "the tables in force do not serve the request"})
	default:
		return true
	}
	return false
}

// workspaceName returns the name of the request's workspace, or "" without one.
func (x *exchange) workspaceName() string {
	if w := x.req.Workspace; w != nil {
		return w.Name
	}
	return ""
}

// isAheadOfTables reports whether another instance has forwarded the request under tables
// that this instance does not have yet.
func (x *exchange) isAheadOfTables() bool {
	return x.key.tablesVersion > x.node.core.Tables().Version
}
