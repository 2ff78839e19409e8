package platform

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// maxListVersions limits how many versions of the list are kept; the oldest are
// dropped.
const maxListVersions = 4096

// listVersion is the list of instances from the time at until the next version.
type listVersion struct {
	at   time.Time
	list []platform.Instance
}

// listHistory holds past versions of the list of instances, for the faults
// ListLag and ListFrozen.
type listHistory struct {
	versions []listVersion
	frozen   []platform.Instance
}

// latest returns the current list.
func (h *listHistory) latest() []platform.Instance {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1].list
}

// at returns the list at time t, or nil if no kept version is that old.
func (h *listHistory) at(t time.Time) []platform.Instance {
	for i := len(h.versions) - 1; i >= 0; i-- {
		if !h.versions[i].at.After(t) {
			return h.versions[i].list
		}
	}
	return nil
}

// freeze keeps the list at time t as the frozen list.
func (h *listHistory) freeze(t time.Time) { h.frozen = h.at(t) }

// add makes list the current version from now on.
func (h *listHistory) add(now time.Time, list []platform.Instance) {
	h.versions = append(h.versions, listVersion{at: now, list: list})
	if len(h.versions) > maxListVersions {
		h.versions = slices.Delete(h.versions, 0, len(h.versions)-maxListVersions)
	}
}

// ListInstances implements platform.InstanceRegistry.
func (s *Store) ListInstances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.beginCall(ctx, opRead); err != nil {
		return nil, err
	}
	s.mu.Lock()
	list := s.list.frozen
	if !s.faults.ListFrozen {
		list = s.list.at(s.now().Add(-s.faults.ListLag.Std()))
	}
	s.mu.Unlock()
	return slices.Clone(list), s.finishCall(ctx)
}

// Register implements platform.InstanceRegistry.
func (s *Store) Register(ctx context.Context, instance platform.Instance) error {
	if err := s.beginCall(ctx, opWrite); err != nil {
		return err
	}
	s.mu.Lock()
	list := removeMatching(s.list.latest(), func(entry platform.Instance) bool { return entry.ID == instance.ID })
	list = append(list, instance)
	slices.SortFunc(list, func(a, b platform.Instance) int { return cmp.Compare(a.ID, b.ID) })
	s.list.add(s.now(), list)
	s.mu.Unlock()
	return s.finishCall(ctx)
}

// Deregister implements platform.InstanceRegistry.
func (s *Store) Deregister(ctx context.Context, id, incarnation string) error {
	if err := s.beginCall(ctx, opWrite); err != nil {
		return err
	}
	s.mu.Lock()
	s.list.add(s.now(), removeMatching(s.list.latest(), func(entry platform.Instance) bool {
		return entry.ID == id && entry.Incarnation == incarnation
	}))
	s.mu.Unlock()
	return s.finishCall(ctx)
}

// removeMatching returns a copy of list without the entries for which match
// returns true.
func removeMatching(list []platform.Instance, match func(platform.Instance) bool) []platform.Instance {
	return slices.DeleteFunc(slices.Clone(list), match)
}
