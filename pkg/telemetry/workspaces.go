package telemetry

import "github.com/uber-go/tally/v4"

const (
	// maxWorkspaces bounds the workspaces that have metrics of their own. Further ones are
	// counted under otherWorkspace.
	maxWorkspaces  = 512
	otherWorkspace = "other"
)

// workspaceLabel returns the label of a workspace.
func (m *Metrics) workspaceLabel(name string) string {
	if _, ok := m.workspaces.Load(name); ok {
		return name
	}
	if m.workspaceCount.Add(1) > maxWorkspaces {
		m.workspaceCount.Add(-1)
		return otherWorkspace
	}
	if _, known := m.workspaces.LoadOrStore(name, true); known {
		m.workspaceCount.Add(-1)
	}
	return name
}

// workspaceScope returns the scope of the metrics of a workspace.
func (m *Metrics) workspaceScope(workspace string) tally.Scope {
	return m.scope.Tagged(map[string]string{"workspace": m.workspaceLabel(workspace)})
}

// CountWorkspaceRefusal counts a request of the workspace that was refused with an error of
// the kind. An empty workspace stands for requests without one.
func (m *Metrics) CountWorkspaceRefusal(workspace, kind string) {
	m.workspaceScope(workspace).Tagged(map[string]string{"kind": kind}).Counter("workspace_refusals").Inc(1)
}

// CountQuotaDecision counts a request of a workspace with a limit: admitted, or refused
// with a reason.
func (m *Metrics) CountQuotaDecision(workspace, result string) {
	m.workspaceScope(workspace).Tagged(map[string]string{"result": result}).Counter("quota_decisions").Inc(1)
}

// RecordQuota records the state of a workspace at its owner: the limit in requests per
// second, the part of it that the owner hands out, and the requests that may come at once.
func (m *Metrics) RecordQuota(workspace string, rate, share, tokens float64) {
	s := m.workspaceScope(workspace)
	s.Gauge("quota_rate").Update(rate)
	s.Gauge("quota_share").Update(share)
	s.Gauge("quota_tokens").Update(tokens)
}
