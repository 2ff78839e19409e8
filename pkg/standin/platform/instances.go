package platform

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// keptChanges bounds the remembered changes of the list; older ones merge.
const keptChanges = 4096

// change is the list as it was from At on.
type change struct {
	at   time.Time
	list []platform.Instance
}

// history holds the list of instances over time, so that an old one can be served.
type history struct {
	changes []change
	frozen  []platform.Instance
}

// latest returns the list as it is now.
func (h *history) latest() []platform.Instance {
	if len(h.changes) == 0 {
		return nil
	}
	return h.changes[len(h.changes)-1].list
}

// at returns the list as it was at t.
func (h *history) at(t time.Time) []platform.Instance {
	for i := len(h.changes) - 1; i >= 0; i-- {
		if !h.changes[i].at.After(t) {
			return h.changes[i].list
		}
	}
	return nil
}

// freeze keeps the list of t for later.
func (h *history) freeze(t time.Time) { h.frozen = h.at(t) }

// add makes list the current one from now on.
func (h *history) add(now time.Time, list []platform.Instance) {
	h.changes = append(h.changes, change{at: now, list: list})
	if len(h.changes) > keptChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-keptChanges)
	}
}

// ListInstances implements platform.InstanceRegistry.
func (s *Store) ListInstances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.begin(ctx, read); err != nil {
		return nil, err
	}
	s.mu.Lock()
	list := s.list.frozen
	if !s.faults.ListFrozen {
		list = s.list.at(s.now().Add(-s.faults.ListLag.Std()))
	}
	s.mu.Unlock()
	return slices.Clone(list), s.finish(ctx)
}

// Register implements platform.InstanceRegistry.
func (s *Store) Register(ctx context.Context, in platform.Instance) error {
	if err := s.begin(ctx, write); err != nil {
		return err
	}
	s.mu.Lock()
	list := without(s.list.latest(), func(have platform.Instance) bool { return have.ID == in.ID })
	list = append(list, in)
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.list.add(s.now(), list)
	s.mu.Unlock()
	return s.finish(ctx)
}

// Deregister implements platform.InstanceRegistry.
func (s *Store) Deregister(ctx context.Context, id, incarnation string) error {
	if err := s.begin(ctx, write); err != nil {
		return err
	}
	s.mu.Lock()
	s.list.add(s.now(), without(s.list.latest(), func(have platform.Instance) bool {
		return have.ID == id && have.Incarnation == incarnation
	}))
	s.mu.Unlock()
	return s.finish(ctx)
}

// without returns a copy of list without the entries that match.
func without(list []platform.Instance, match func(platform.Instance) bool) []platform.Instance {
	return slices.DeleteFunc(slices.Clone(list), match)
}
