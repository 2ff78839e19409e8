package node

import "github.com/jacinthramp/jacinthramp/pkg/decision/steer"

// reportRooms updates the metrics of the waiting rooms with what is new since reported, by
// service. It returns the state that it has reported.
func (n *Node) reportRooms(reported map[string]steer.RoomView) map[string]steer.RoomView {
	next := make(map[string]steer.RoomView)
	for _, v := range n.core.RoomViews() {
		last := reported[v.Service]
		if last.Sent > v.Sent {
			// The service was gone for a time, and its room is a new one.
			last = steer.RoomView{}
		}
		next[v.Service] = v
		n.metrics.RecordWaiting(v.Service, v.Waiting)
		n.metrics.CountWaited(v.Service, v.Sent-last.Sent, v.Waited-last.Waited)
		for rank, count := range v.Refused {
			if added := count - last.Refused[rank]; added > 0 {
				n.metrics.CountRoomRefusals(v.Service, string(rank.Workspace), string(rank.Route), added)
			}
		}
	}
	for service := range reported {
		if _, ok := next[service]; !ok {
			n.metrics.RecordWaiting(service, 0)
		}
	}
	return next
}
