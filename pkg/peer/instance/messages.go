// Package instance is the protocol between the instances of the system:
// typed JSON-RPC 2.0 calls over TCP, with bounded messages and connections,
// timeouts, and optional mutual TLS.
package instance

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Method names one call.
type Method string

// The methods.
const (
	MethodHeartbeat Method = "instance.heartbeat"
	MethodAnnounce  Method = "instance.announce"
	MethodTables    Method = "instance.tables"
	MethodLend      Method = "instance.lend"
	MethodPromise   Method = "instance.promise"
	MethodConsent   Method = "instance.consent"
	MethodZone      Method = "instance.zone"
	MethodCatalog   Method = "instance.catalog"
)

// HeartbeatRequest is sent by every instance to the watchers of its zone.
type HeartbeatRequest struct {
	From      member.Info         `json:"from"`
	Heartbeat allowance.Heartbeat `json:"beat"`
	// TablesVersion and Rejected are the versions in force and unreadable.
	TablesVersion   uint64 `json:"tables"`
	RejectedVersion uint64 `json:"rejected,omitempty"`
	// CatalogPosition is how far the sender has followed what discovery tells.
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	// ExpectedReceiver is the incarnation that the sender takes the receiver for.
	ExpectedReceiver allowance.Key `json:"to"`
	// WantZones asks for the summaries of other zones.
	WantZones bool `json:"want_zones,omitempty"`
	// MembersDigest digests the sender's view of the zone.
	MembersDigest uint64 `json:"members"`
	// WantVerdict asks which members are in use, in place of when they were
	// heard from: the sender leaves that to the watchers.
	WantVerdict bool `json:"want_verdict,omitempty"`
	// Downstream tells of the instances that report to the sender, a relay. Their
	// reports are left out while they are the same and not asked for.
	Downstream *member.Witnessed `json:"below,omitempty"`
	// Summaries are the sender's own part of the zone's headroom.
	Summaries []Summary `json:"summaries,omitempty"`
	// PoisonRecords are the sender's records of requests that cost targets.
	PoisonRecords []poison.Record `json:"poison,omitempty"`
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	// From is set when the receiver is not who the sender takes it for, or
	// leaves.
	From          *member.Info `json:"from,omitempty"`
	TablesVersion uint64       `json:"tables"`
	// CatalogPosition is how far the receiver has followed what discovery tells.
	// Following is set while it reads the platform's feeds, or hears from an
	// instance that does, last FeedReaderAge ago.
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	HasFeedReader   bool             `json:"following,omitempty"`
	FeedReaderAge   time.Duration    `json:"following_age,omitempty"`
	// WantDownstream asks a relay for the reports that it has left out.
	WantDownstream bool `json:"want_below,omitempty"`
	// Row is set when the sender has not seen its layout.
	Row *allowance.Row `json:"row,omitempty"`
	// RowVersion and RowLayout are the receiver's newest; Recorded is the
	// number of the sender's newest heartbeat recorded in it.
	RowVersion uint64 `json:"row_version"`
	RowLayout  uint64 `json:"row_layout"`
	Renewal    uint64 `json:"recorded"`
	// Members is set when the digests differ. When Agree is set they are equal
	// and everyone was heard from within MembersAge. MembersAge is that of the
	// verdict, when it was asked for.
	Members      []member.Report `json:"members,omitempty"`
	MembersAgree bool            `json:"agree,omitempty"`
	MembersAge   time.Duration   `json:"agree_age,omitempty"`
	// ZoneReports are the summaries of other zones, when asked for.
	ZoneReports   []ZoneReport    `json:"zones,omitempty"`
	PoisonRecords []poison.Record `json:"poison,omitempty"`
}

// Summary is a headroom with its age in place of a time, since the clocks of
// two instances differ.
type Summary struct {
	steer.ZoneSummary
	AgeMS int64 `json:"age_ms"`
}

// ZoneReport is what the instances of a zone tell those of others.
type ZoneReport struct {
	Zone      string    `json:"zone"`
	Summaries []Summary `json:"summaries,omitempty"`
	// Suspected are instances that the zone has not heard from lately.
	Suspected []allowance.Key `json:"absent,omitempty"`
	// Leaving are instances that have begun to stop.
	Leaving []allowance.Key `json:"leaving,omitempty"`
	AgeMS   int64           `json:"age_ms"`
}

// AnnounceRequest tells what is new at the sender.
type AnnounceRequest struct {
	From member.Info `json:"from"`
	// TablesVersion is that of the tables in force, Layout that of the zone's row.
	TablesVersion uint64 `json:"version"`
	RowLayout     uint64 `json:"layout"`
	// Step leads from the version before to Version, when it is short.
	Step *tablestore.Step `json:"step,omitempty"`
	// Entries lead from the position Base to Catalog.
	BasePosition    catalog.Position `json:"base,omitzero"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Entries         *EncodedEntries  `json:"entries,omitempty"`
	// MembersDigest digests the members that the sender, a watcher or relay, has
	// just come to hold alive. Who differs asks for them.
	MembersDigest uint64 `json:"members,omitempty"`
}

// AnnounceReply holds the version in force at the receiver.
type AnnounceReply struct {
	TablesVersion uint64 `json:"version"`
}

// TablesRequest asks for the tables above the version Have.
type TablesRequest struct {
	HaveVersion uint64 `json:"have"`
}

// TablesReply holds the content in force as it was accepted, or nothing when
// Have is as high.
type TablesReply struct {
	Head    tablestore.Head `json:"head"`
	Content []byte          `json:"content,omitempty"`
}

// LendRequest asks for a loan of shares.
type LendRequest struct {
	Loan allowance.LoanRequest `json:"loan"`
}

// LendReply answers a LendRequest.
type LendReply struct {
	Loan allowance.Loan `json:"loan"`
}

// PromiseRequest asks a witness to extend a lease.
type PromiseRequest struct {
	Promise allowance.Promise `json:"promise"`
}

// ConsentRequest asks a witness not to extend a lease any more.
type ConsentRequest struct {
	Consent allowance.Consent `json:"consent"`
}

// WitnessReply answers a PromiseRequest or a ConsentRequest.
type WitnessReply struct {
	Agreed bool `json:"agreed"`
}

// ZoneRequest exchanges the reports of two zones.
type ZoneRequest struct {
	From            member.Info      `json:"from"`
	TablesVersion   uint64           `json:"tables"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Report          ZoneReport       `json:"report"`
	PoisonRecords   []poison.Record  `json:"poison,omitempty"`
}

// ZoneReply answers a ZoneRequest.
type ZoneReply struct {
	TablesVersion   uint64           `json:"tables"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Report          ZoneReport       `json:"report"`
	PoisonRecords   []poison.Record  `json:"poison,omitempty"`
}

// CatalogRequest asks for the entries above the position Have.
type CatalogRequest struct {
	HavePosition catalog.Position `json:"have"`
}

// CatalogReply holds the entries, and how far they reach.
type CatalogReply struct {
	Entries  []catalog.Entry  `json:"entries,omitempty"`
	Position catalog.Position `json:"position"`
}

// Handler answers the calls of other instances. Its methods must not block.
type Handler interface {
	Heartbeat(ctx context.Context, q *HeartbeatRequest) (*HeartbeatReply, error)
	Announce(ctx context.Context, q *AnnounceRequest) (*AnnounceReply, error)
	Tables(ctx context.Context, q *TablesRequest) (*TablesReply, error)
	Lend(ctx context.Context, q *LendRequest) (*LendReply, error)
	Promise(ctx context.Context, q *PromiseRequest) (*WitnessReply, error)
	Consent(ctx context.Context, q *ConsentRequest) (*WitnessReply, error)
	Zone(ctx context.Context, q *ZoneRequest) (*ZoneReply, error)
	Catalog(ctx context.Context, q *CatalogRequest) (*CatalogReply, error)
}
