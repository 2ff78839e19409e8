// Package instance implements the protocol between instances: typed JSON-RPC 2.0
// calls over TCP, with bounded message sizes and numbers of connections, timeouts,
// and optional mutual TLS.
package instance

import (
	"context"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/decision/allowance"
	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/decision/member"
	"github.com/jacinthramp/jacinthramp/pkg/decision/poison"
	"github.com/jacinthramp/jacinthramp/pkg/decision/quota"
	"github.com/jacinthramp/jacinthramp/pkg/decision/ratelimit"
	"github.com/jacinthramp/jacinthramp/pkg/decision/steer"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// Method is the name of a JSON-RPC method.
type Method string

// The methods.
const (
	MethodHeartbeat Method = "instance.heartbeat"
	MethodAnnounce  Method = "instance.announce"
	// MethodAnnouncePatch is MethodAnnounce with patches among the entries.
	MethodAnnouncePatch Method = "instance.announce_patch"
	MethodTables        Method = "instance.tables"
	MethodLend          Method = "instance.lend"
	MethodPromise       Method = "instance.promise"
	MethodConsent       Method = "instance.consent"
	MethodZone          Method = "instance.zone"
	MethodCatalog       Method = "instance.catalog"
	MethodQuota         Method = "instance.quota"
	MethodAdmit         Method = "instance.admit"
)

// HeartbeatRequest is sent periodically by every instance to the watchers of its cell,
// or to relays that forward its reports.
type HeartbeatRequest struct {
	From      member.Info         `json:"from"`
	Heartbeat allowance.Heartbeat `json:"beat"`
	// TablesVersion is the version of the tables in force at the sender.
	// RejectedVersion is the newest version that it could not read, or zero.
	TablesVersion   uint64 `json:"tables"`
	RejectedVersion uint64 `json:"rejected,omitempty"`
	// CatalogPosition is the position up to which the sender has applied the
	// catalog.
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	// ExpectedReceiver is the instance and incarnation that the sender expects
	// at the receiver's address.
	ExpectedReceiver allowance.HolderKey `json:"to"`
	// WantZones requests the reports of other zones.
	WantZones bool `json:"want_zones,omitempty"`
	// MembersDigest is the digest of the sender's view of the cell's members.
	MembersDigest uint64 `json:"members"`
	// WantVerdict requests the watchers' verdict on which members are alive instead
	// of the times when the members were last seen. It is set if the sender leaves
	// that decision to the watchers.
	WantVerdict bool `json:"want_verdict,omitempty"`
	// Downstream is set by a relay, for the instances that send their heartbeats
	// to it. It omits their reports if they are unchanged and were not requested
	// with WantDownstream.
	Downstream *member.ReportSet `json:"below,omitempty"`
	// Summaries are the sender's own contribution to the zone's headroom.
	Summaries []Summary `json:"summaries,omitempty"`
	// PoisonRecords are the sender's records of requests during which targets
	// were lost.
	PoisonRecords []poison.Record `json:"poison,omitempty"`
	// LeavingTargets are the targets that have announced that they are leaving.
	LeavingTargets []departure.Record `json:"leaving,omitempty"`
	// RateLimits are what targets have announced about their rate limits.
	RateLimits []ratelimit.Record `json:"limits,omitempty"`
}

// FeedFreshness states how recent an instance's copy of the platform's feeds is or,
// without feeds, its tables.
type FeedFreshness struct {
	// HasFeedReader is set once the instance has read the feeds, or has received the
	// entries of an instance that has.
	HasFeedReader bool `json:"following,omitempty"`
	// FeedReaderAge is the time since the instance had all that the store had accepted.
	FeedReaderAge time.Duration `json:"following_age,omitempty"`
}

// HeartbeatReply is the reply to a HeartbeatRequest.
type HeartbeatReply struct {
	// From is set if the receiver is not the sender's ExpectedReceiver, or is
	// leaving.
	From          *member.Info `json:"from,omitempty"`
	TablesVersion uint64       `json:"tables"`
	// CatalogPosition is the position up to which the receiver has applied the
	// catalog.
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	FeedFreshness
	// WantDownstream requests the reports that a relay has omitted from Downstream.
	WantDownstream bool `json:"want_below,omitempty"`
	// Row is set if its layout is newer than the one that the sender has seen.
	Row *allowance.Row `json:"row,omitempty"`
	// RowVersion and RowLayout are the versions of the receiver's latest row and
	// its layout. Renewal is the number of the sender's latest heartbeat that the
	// row records.
	RowVersion uint64 `json:"row_version"`
	RowLayout  uint64 `json:"row_layout"`
	Renewal    uint64 `json:"recorded"`
	// MembersAgree is set if the sender's and the receiver's digests of the members
	// are equal and every member was last seen within MembersAge; otherwise
	// Members is set. If a verdict was requested, MembersAge is the age of the
	// verdict.
	Members      []member.Report `json:"members,omitempty"`
	MembersAgree bool            `json:"agree,omitempty"`
	MembersAge   time.Duration   `json:"agree_age,omitempty"`
	// ZoneReports are the reports of other zones, if requested.
	ZoneReports   []ZoneReport    `json:"zones,omitempty"`
	PoisonRecords []poison.Record `json:"poison,omitempty"`
	// LeavingTargets are the targets that have announced that they are leaving,
	// except those in the request.
	LeavingTargets []departure.Record `json:"leaving,omitempty"`
	// RateLimits are what targets have announced about their rate limits, except what
	// the request holds.
	RateLimits []ratelimit.Record `json:"limits,omitempty"`
}

// Summary is a zone summary with its age instead of a time, since the clocks of two
// instances differ.
type Summary struct {
	steer.ZoneSummary
	AgeMS int64 `json:"age_ms"`
}

// ZoneReport is what the instances of a zone report to those of other zones.
type ZoneReport struct {
	Zone      string    `json:"zone"`
	Summaries []Summary `json:"summaries,omitempty"`
	// Suspected are instances from which the zone has received nothing lately.
	Suspected []allowance.HolderKey `json:"absent,omitempty"`
	// Leaving are instances that have begun to shut down.
	Leaving []allowance.HolderKey `json:"leaving,omitempty"`
	AgeMS   int64                 `json:"age_ms"`
}

// AnnounceRequest announces what has changed at the sender.
type AnnounceRequest struct {
	From member.Info `json:"from"`
	// TablesVersion is the version of the tables in force, RowLayout that of the
	// layout of the zone's row.
	TablesVersion uint64 `json:"version"`
	RowLayout     uint64 `json:"layout"`
	// Step is the change from the previous version of the tables to TablesVersion.
	// It is set only if it is small.
	Step *tablestore.Step `json:"step,omitempty"`
	// Entries are the changes of the catalog from BasePosition to CatalogPosition. Without
	// any, a feed reader proves to the instances that take over from it that its copy is
	// complete.
	BasePosition    catalog.Position `json:"base,omitzero"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Entries         *EncodedEntries  `json:"entries,omitempty"`
	// Live is set for the topics of which Entries may lack removals.
	Live catalog.LiveKeys `json:"live,omitzero"`
	FeedFreshness
	// MembersDigest is the digest of the members that the sender, a watcher or
	// relay, considers alive. It is set if they have just changed. A receiver
	// with a different digest requests them with its next heartbeat.
	MembersDigest uint64 `json:"members,omitempty"`
}

// AnnounceReply is the reply to an AnnounceRequest. It holds the version of the tables
// in force at the receiver.
type AnnounceReply struct {
	TablesVersion uint64 `json:"version"`
}

// TablesRequest requests the tables in force if their version is above HaveVersion.
type TablesRequest struct {
	HaveVersion uint64 `json:"have"`
}

// TablesReply is the reply to a TablesRequest. It holds the content in force as it was
// accepted, or nothing if its version is not above HaveVersion.
type TablesReply struct {
	Head    tablestore.Head `json:"head"`
	Content []byte          `json:"content,omitempty"`
}

// LendRequest requests a loan of shares from the receiver.
type LendRequest struct {
	Loan allowance.LoanRequest `json:"loan"`
}

// LendReply is the reply to a LendRequest.
type LendReply struct {
	Loan allowance.Loan `json:"loan"`
}

// PromiseRequest requests the receiver's promise, as a witness, not to consent to the
// reclaim of the holder's shares for the duration of a lease.
type PromiseRequest struct {
	Promise allowance.PromiseRequest `json:"promise"`
}

// ConsentRequest requests that the receiver, as a witness, grants no more promises to
// the holder.
type ConsentRequest struct {
	Consent allowance.ConsentRequest `json:"consent"`
}

// WitnessReply is the reply of a witness to a PromiseRequest or a ConsentRequest.
type WitnessReply struct {
	Agreed bool `json:"agreed"`
}

// ZoneRequest exchanges the reports of the sender's and the receiver's zones.
type ZoneRequest struct {
	From            member.Info      `json:"from"`
	TablesVersion   uint64           `json:"tables"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Report          ZoneReport       `json:"report"`
	PoisonRecords   []poison.Record  `json:"poison,omitempty"`
	// RateLimits are what targets have announced about their rate limits.
	RateLimits []ratelimit.Record `json:"limits,omitempty"`
}

// ZoneReply is the reply to a ZoneRequest.
type ZoneReply struct {
	TablesVersion   uint64           `json:"tables"`
	CatalogPosition catalog.Position `json:"catalog,omitzero"`
	Report          ZoneReport       `json:"report"`
	PoisonRecords   []poison.Record  `json:"poison,omitempty"`
	// RateLimits are what targets have announced about their rate limits.
	RateLimits []ratelimit.Record `json:"limits,omitempty"`
}

// CatalogRequest requests the catalog entries after HavePosition.
type CatalogRequest struct {
	HavePosition catalog.Position `json:"have"`
	// AcceptsPatches is set if the reply may hold patches of configurations.
	AcceptsPatches bool `json:"patches,omitempty"`
}

// CatalogReply is the reply to a CatalogRequest. It holds the entries, and the position
// up to which they are complete.
type CatalogReply struct {
	Entries  []catalog.Entry  `json:"entries,omitempty"`
	Position catalog.Position `json:"position"`
	// Live is set for the topics of which Entries may lack removals.
	Live catalog.LiveKeys `json:"live,omitzero"`
	FeedFreshness
}

// QuotaRequest asks the receiver, as the owner of workspaces, for tokens.
type QuotaRequest struct{ quota.Ask }

// QuotaReply is the reply to a QuotaRequest.
type QuotaReply struct{ quota.Answer }

// AdmitRequest asks the receiver, as the holder of a workspace in the region, to admit one
// of its requests.
type AdmitRequest struct{ quota.Admission }

// AdmitReply is the reply to an AdmitRequest.
type AdmitReply struct{ quota.AdmissionReply }

// Handler handles calls of other instances. Its methods must not block, since the
// calls on a connection are served in sequence.
type Handler interface {
	Heartbeat(ctx context.Context, req *HeartbeatRequest) (*HeartbeatReply, error)
	Announce(ctx context.Context, req *AnnounceRequest) (*AnnounceReply, error)
	Tables(ctx context.Context, req *TablesRequest) (*TablesReply, error)
	Lend(ctx context.Context, req *LendRequest) (*LendReply, error)
	Promise(ctx context.Context, req *PromiseRequest) (*WitnessReply, error)
	Consent(ctx context.Context, req *ConsentRequest) (*WitnessReply, error)
	Zone(ctx context.Context, req *ZoneRequest) (*ZoneReply, error)
	Catalog(ctx context.Context, req *CatalogRequest) (*CatalogReply, error)
	Quota(ctx context.Context, req *QuotaRequest) (*QuotaReply, error)
	Admit(ctx context.Context, req *AdmitRequest) (*AdmitReply, error)
}
