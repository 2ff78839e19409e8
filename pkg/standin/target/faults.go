package target

import (
	"github.com/jacinthramp/jacinthramp/pkg/standin"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// MalformedResponse is a kind of malformed response that a target can be made to send.
type MalformedResponse string

// Kinds of malformed responses. The target sends them after it has run the request.
const (
	// MalformedNone sends the valid response.
	MalformedNone MalformedResponse = ""
	// MalformedNotHTTP sends bytes that are not HTTP.
	MalformedNotHTTP MalformedResponse = "noise"
	// MalformedTruncated sends a body shorter than its Content-Length.
	MalformedTruncated MalformedResponse = "short"
	// MalformedDuplicate sends two complete responses to one request.
	MalformedDuplicate MalformedResponse = "double"
	// MalformedEndlessHead, MalformedEndlessExcess and MalformedEndlessBody send
	// a standin.Endless response.
	MalformedEndlessHead   = MalformedResponse(standin.EndlessHead)
	MalformedEndlessExcess = MalformedResponse(standin.EndlessExcess)
	MalformedEndlessBody   = MalformedResponse(standin.EndlessBody)
)

// FalseReport selects false content for a health or load report.
type FalseReport string

// Kinds of false reports.
const (
	// FalseReportNone reports the actual state.
	FalseReportNone FalseReport = ""
	// FalseReportGood reports the target as healthy, or as idle.
	FalseReportGood FalseReport = "good"
	// FalseReportBad reports the target as unhealthy, or with all slots and its
	// queue in use.
	FalseReportBad FalseReport = "bad"
)

// Faults are the injected faults of a target. The zero value is a target without
// faults.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool `json:"shed" yaml:"shed"`
	// Malformed is the kind of malformed response that the target sends.
	Malformed MalformedResponse `json:"garbage" yaml:"garbage"`
	// ByteInterval is the pause between two bytes of an endless response. Zero means
	// none.
	ByteInterval table.Duration `json:"drip" yaml:"drip"`
	// Hang makes every run last until its caller disconnects or its deadline passes.
	Hang bool `json:"hang" yaml:"hang"`
	// Delay is added to the service time.
	Delay table.Duration `json:"delay" yaml:"delay"`
	// FalseHealth and FalseLoad replace the content of the reports.
	FalseHealth FalseReport `json:"health_lie" yaml:"health_lie"`
	FalseLoad   FalseReport `json:"load_lie" yaml:"load_lie"`
	// ReportLag is how long the target serves the same load report.
	ReportLag table.Duration `json:"report_lag" yaml:"report_lag"`
	// ReportsUnresponsive blocks the health and load endpoints until the caller
	// gives up.
	ReportsUnresponsive bool `json:"reports_silent" yaml:"reports_silent"`
	// HideLeaving omits the leaving notice from reports and responses.
	HideLeaving bool `json:"hide_leaving" yaml:"hide_leaving"`
	// IgnoreCancel completes a run even if its caller disconnects or its
	// deadline passes.
	IgnoreCancel bool `json:"ignore_cancel" yaml:"ignore_cancel"`
}
