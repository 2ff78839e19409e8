package telemetry

import "time"

// RecordWaiting records how many requests wait at this instance for scarce room of the service.
func (m *Metrics) RecordWaiting(service string, waiting int) {
	m.scope.Tagged(map[string]string{"service": service}).Gauge("room_waiting").Update(float64(waiting))
}

// CountWaited counts requests that were sent to the service after a wait for room, and the
// time that they waited in all.
func (m *Metrics) CountWaited(service string, sent int64, waited time.Duration) {
	s := m.scope.Tagged(map[string]string{"service": service})
	s.Counter("room_sent").Inc(sent)
	s.Counter("room_waited_ms").Inc(waited.Milliseconds())
}

// CountRoomRefusals counts requests that were refused since their turn at the service came too
// late, by the priorities of their workspaces and routes.
func (m *Metrics) CountRoomRefusals(service, workspacePriority, routePriority string, refused int64) {
	m.scope.Tagged(map[string]string{
		"service": service, "workspace_priority": workspacePriority, "route_priority": routePriority,
	}).Counter("room_refusals").Inc(refused)
}
