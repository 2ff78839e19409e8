package target

import "github.com/jacinthramp/jacinthramp/pkg/table"

// MalformedResponse is a way to answer badly.
type MalformedResponse string

// The ways to answer badly. Each of them follows a run of the request.
const (
	// MalformedNone answers as it should.
	MalformedNone MalformedResponse = ""
	// MalformedNotHTTP writes bytes that are not HTTP.
	MalformedNotHTTP MalformedResponse = "noise"
	// MalformedTruncated announces more bytes than it sends.
	MalformedTruncated MalformedResponse = "short"
	// MalformedDuplicate sends two whole answers to one request.
	MalformedDuplicate MalformedResponse = "double"
)

// FalseReport is what a report claims in place of the truth.
type FalseReport string

// The lies of the health and load reports.
const (
	FalseReportNone FalseReport = ""
	// FalseReportGood claims health, or that the target is idle.
	FalseReportGood FalseReport = "good"
	// FalseReportBad claims illness, or that every slot is taken.
	FalseReportBad FalseReport = "bad"
)

// Faults are what a target does wrong on purpose. The zero value is a target
// that works.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool `json:"shed" yaml:"shed"`
	// Malformed answers badly.
	Malformed MalformedResponse `json:"garbage" yaml:"garbage"`
	// Hang runs requests and never answers until their caller gives up.
	Hang bool `json:"hang" yaml:"hang"`
	// Delay is added to the service time.
	Delay table.Duration `json:"delay" yaml:"delay"`
	// FalseHealth and FalseLoad replace the reports.
	FalseHealth FalseReport `json:"health_lie" yaml:"health_lie"`
	FalseLoad   FalseReport `json:"load_lie" yaml:"load_lie"`
	// ReportLag is how long a load report is served before a new one is made.
	ReportLag table.Duration `json:"report_lag" yaml:"report_lag"`
	// ReportsUnresponsive leaves the health and load endpoints without an answer.
	ReportsUnresponsive bool `json:"reports_silent" yaml:"reports_silent"`
	// HideLeaving keeps the sign of leaving off reports and answers.
	HideLeaving bool `json:"hide_leaving" yaml:"hide_leaving"`
	// IgnoreCancel runs a request to its end when its caller is gone.
	IgnoreCancel bool `json:"ignore_cancel" yaml:"ignore_cancel"`
}
