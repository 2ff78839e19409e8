package target

import "github.com/jacinthramp/jacinthramp/pkg/table"

// Garbage is a way to answer badly.
type Garbage string

// The ways to answer badly. Each of them follows a run of the request.
const (
	// GarbageNone answers as it should.
	GarbageNone Garbage = ""
	// GarbageNoise writes bytes that are not HTTP.
	GarbageNoise Garbage = "noise"
	// GarbageShort announces more bytes than it sends.
	GarbageShort Garbage = "short"
	// GarbageDouble sends two whole answers to one request.
	GarbageDouble Garbage = "double"
)

// Lie is what a report claims in place of the truth.
type Lie string

// The lies of the health and load reports.
const (
	LieNone Lie = ""
	// LieGood claims health, or that the target is idle.
	LieGood Lie = "good"
	// LieBad claims illness, or that every slot is taken.
	LieBad Lie = "bad"
)

// Faults are what a target does wrong on purpose. The zero value is a target
// that works.
type Faults struct {
	// Shed refuses every request without running it.
	Shed bool `json:"shed" yaml:"shed"`
	// Garbage answers badly.
	Garbage Garbage `json:"garbage" yaml:"garbage"`
	// Hang runs requests and never answers until their caller gives up.
	Hang bool `json:"hang" yaml:"hang"`
	// Delay is added to the service time.
	Delay table.Duration `json:"delay" yaml:"delay"`
	// HealthLie and LoadLie replace the reports.
	HealthLie Lie `json:"health_lie" yaml:"health_lie"`
	LoadLie   Lie `json:"load_lie" yaml:"load_lie"`
	// ReportLag is how long a load report is served before a new one is made.
	ReportLag table.Duration `json:"report_lag" yaml:"report_lag"`
	// ReportsSilent leaves the health and load endpoints without an answer.
	ReportsSilent bool `json:"reports_silent" yaml:"reports_silent"`
	// HideLeaving keeps the sign of leaving off reports and answers.
	HideLeaving bool `json:"hide_leaving" yaml:"hide_leaving"`
	// IgnoreCancel runs a request to its end when its caller is gone.
	IgnoreCancel bool `json:"ignore_cancel" yaml:"ignore_cancel"`
}
