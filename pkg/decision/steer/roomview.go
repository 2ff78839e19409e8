package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// Rank is the order in which requests get scarce room: by the priority of their workspaces,
// then by that of their routes.
type Rank struct{ Workspace, Route table.Priority }

// RoomView is this instance's waiting room of one service. All but Waiting count since the
// start of the instance.
type RoomView struct {
	Service string
	// Waiting is the number of requests that wait.
	Waiting int
	// Sent counts the requests that were sent after a wait, and Waited is the time that they
	// waited in all.
	Sent   int64
	Waited time.Duration
	// Refused counts the requests that were refused since their turn came too late, by rank;
	// ranks without any are missing.
	Refused map[Rank]int64
}

// priorities are those of the queueing classes.
var priorities = [priorityClasses]table.Priority{table.PriorityHigh, table.PriorityNormal, table.PriorityLow}

// RoomViews returns the waiting rooms of the services in use, by service; none if requests
// don't wait for scarce room.
func (c *Core) RoomViews() []RoomView {
	snap := c.snapshot.Load()
	var views []RoomView
	for name := range snap.services {
		if rm := snap.roomOf(name); rm != nil {
			views = append(views, rm.view())
		}
	}
	slices.SortFunc(views, func(a, b RoomView) int { return cmp.Compare(a.Service, b.Service) })
	return views
}

func (rm *room) view() RoomView {
	v := RoomView{Service: rm.name, Waiting: int(rm.queued.Load()), Sent: rm.sentAfterWait.Load(), Waited: time.Duration(rm.waited.Load()), Refused: make(map[Rank]int64)}
	for rank := range rm.refused {
		if n := rm.refused[rank].Load(); n > 0 {
			v.Refused[Rank{Workspace: priorities[rank/priorityClasses], Route: priorities[rank%priorityClasses]}] = n
		}
	}
	return v
}
