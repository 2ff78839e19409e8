package main

import (
	"cmp"
	"fmt"
	"io"
	"strings"

	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// writeWorkspace writes what the tables and the instance know about a workspace.
func writeWorkspace(w io.Writer, ws *wire.WorkspaceExplanation) {
	if ws == nil {
		return
	}
	fmt.Fprintf(w, "  workspace %s: priority %s, regions %s\n", ws.Workspace, cmp.Or(ws.Priority, "of the route"), nameList(ws.Regions, "all"))
	q := ws.Quota
	if q == nil {
		return
	}
	fmt.Fprintf(w, "  quota: %g requests/s and %g at once over all instances, owner %s", q.Rate, q.Burst, cmp.Or(q.Owner, "not known"))
	if q.Share > 0 {
		fmt.Fprintf(w, ", which hands out %.0f%%", 100*q.Share)
	}
	fmt.Fprintf(w, "; %.1f tokens here: %s", q.Tokens, q.Verdict)
	if q.Reason != "" {
		fmt.Fprintf(w, " (%s)", q.Reason)
	}
	fmt.Fprintln(w)
}

// writeRequest writes what would become of a request with direct dispatch.
func writeRequest(w io.Writer, r *wire.RequestExplanation) {
	fmt.Fprintf(w, "  service %s, priority %s, idempotent %v\n", r.Service, r.Priority, r.Idempotent)
	fmt.Fprintf(w, "  regions: %s (the route allows %s)\n", nameList(r.Regions, "none"), nameList(r.RouteRegions, "all"))
	fmt.Fprintf(w, "  may wait %.0f ms at a target\n", r.MaxWaitMS)
	writeRoom(w, r.Room)
	for _, tg := range r.Targets {
		writeCandidate(w, tg)
	}
	if r.MoreTargets > 0 {
		fmt.Fprintf(w, "    and %d more targets\n", r.MoreTargets)
	}
}

// writeRoom writes the state of a waiting room.
func writeRoom(w io.Writer, rm *wire.RoomExplanation) {
	if rm == nil {
		return
	}
	fmt.Fprintf(w, "  waiting room: %d waiting at this instance", rm.Waiting)
	if rm.Full {
		fmt.Fprintf(w, "; no target has room for its rank: behind %d, about %.0f ms, may wait %.0f ms", rm.Ahead, rm.ExpectedWaitMS, rm.MaxWaitMS)
	}
	if rm.ServedFirst {
		fmt.Fprint(w, "; some are about to be sent first, ask again")
	}
	fmt.Fprintln(w)
}

// writeCandidate writes how a target was considered with direct dispatch.
func writeCandidate(w io.Writer, tg wire.CandidateExplanation) {
	fmt.Fprintf(w, "    target %s (%s, %s)", tg.Target, tg.Zone, tg.Region)
	if tg.Rank > 0 {
		fmt.Fprintf(w, ", rank %d of the object", tg.Rank)
	}
	if tg.Warm {
		fmt.Fprint(w, ", has had the object from here")
	}
	if tg.Cold {
		fmt.Fprint(w, ", cold")
	}
	fmt.Fprintf(w, ": %d own", tg.InFlight)
	if tg.LoadAgeMS >= 0 {
		fmt.Fprintf(w, " and %.1f other requests (reported %.0f ms ago)", tg.Others, tg.LoadAgeMS)
	} else {
		fmt.Fprint(w, " requests, no report of others")
	}
	fmt.Fprintf(w, " on %d slots%s, wait %.0f ms, cost %.0f ms: %s\n", tg.Slots, workFactor(tg.TargetExplanation), tg.WaitMS, tg.CostMS, candidateState(tg))
}

// candidateState says whether a target may be chosen.
func candidateState(tg wire.CandidateExplanation) string {
	state := eligibility(tg.Excluded)
	switch {
	case tg.Excluded != "":
	case tg.NoRoom:
		state = "no room for the request's rank"
	case tg.Compared:
		state += ", crowded or slow: a further target is compared"
	}
	if tg.RateLimited && tg.Excluded == "" {
		state += fmt.Sprintf(", rate limit %g requests/s", tg.RateLimit)
	}
	return state
}

// writeLookup writes the instances that a look-up would name.
func writeLookup(w io.Writer, e wire.Explanation) {
	if e.LookupZone == "" {
		return
	}
	var names []string
	for _, in := range e.Lookup {
		names = append(names, fmt.Sprintf("%s (%s, order %d)", in.Instance, in.Zone, in.Order))
	}
	fmt.Fprintf(w, "  a look-up from %s names: %s\n", e.LookupZone, cmp.Or(strings.Join(names, ", "), "no instance"))
}

// nameList joins names; without any it is none.
func nameList(names []string, none string) string {
	return cmp.Or(strings.Join(names, ", "), none)
}
