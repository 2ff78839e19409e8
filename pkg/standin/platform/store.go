// Package platform is a stand-in for the platform: a table service with
// transactions over several rows, an object store and a list of instances that
// may lag, with injectable faults. Store implements the platform's interfaces in
// process; Handler serves them over HTTP.
package platform

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// Store holds the platform's state in memory. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	faults   Faults
	stats    Stats
	window   rateWindow
	lastETag uint64
	rows     map[string]platform.Row
	objects  map[string][]byte
	list     listHistory
}

var (
	_ platform.TableService     = (*Store)(nil)
	_ platform.ObjectStore      = (*Store)(nil)
	_ platform.InstanceRegistry = (*Store)(nil)
)

// New returns an empty store without faults that reads the time from now, or
// from time.Now if now is nil.
func New(now func() time.Time) *Store {
	if now == nil {
		now = time.Now
	}
	return &Store{
		now:     now,
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
	}
}

// Get implements platform.TableService.
func (s *Store) Get(ctx context.Context, key, ifNoneMatch string) (platform.Row, bool, error) {
	if err := s.beginCall(ctx, opRead); err != nil {
		return platform.Row{}, false, err
	}
	s.mu.Lock()
	row, ok := s.rows[key]
	unchanged := ok && row.ETag == ifNoneMatch
	if unchanged {
		s.stats.NotModified++
	}
	s.mu.Unlock()
	if err := s.finishCall(ctx); err != nil {
		return platform.Row{}, false, err
	}
	if unchanged {
		return platform.Row{}, false, nil
	}
	row.Key = key
	row.Value = slices.Clone(row.Value)
	return row, ok || ifNoneMatch != "", nil
}

// List implements platform.TableService.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Row, error) {
	if err := s.beginCall(ctx, opRead); err != nil {
		return nil, err
	}
	s.mu.Lock()
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, prefix) {
			row := s.rows[key]
			row.Value = slices.Clone(row.Value)
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	return rows, s.finishCall(ctx)
}

// Commit implements platform.TableService.
func (s *Store) Commit(ctx context.Context, writes []platform.Write) ([]string, error) {
	if err := s.beginCall(ctx, opWrite); err != nil {
		return nil, err
	}
	if s.consumeLostCommit() {
		return nil, fault.New(fault.KindStoreAmbiguous, "connection closed before the transaction took effect")
	}
	etags, loseResponse, err := s.apply(writes)
	if err != nil {
		return nil, err
	}
	if loseResponse {
		return nil, fault.New(fault.KindStoreAmbiguous, "connection closed after the transaction took effect")
	}
	if err := s.finishCall(ctx); err != nil {
		return nil, fault.Wrap(fault.KindStoreAmbiguous, err, "the call ended before the store responded to the transaction")
	}
	return etags, nil
}

// apply applies all writes if the conditions of all of them hold. It reports whether
// to lose the response.
func (s *Store) apply(writes []platform.Write) (etags []string, loseResponse bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if current := s.rows[w.Key].ETag; current != w.IfMatch {
			s.stats.Conflicts++
			return nil, false, fault.New(fault.KindEditConflict, "row %s has ETag %q, not %q", w.Key, current, w.IfMatch)
		}
	}
	at := s.now()
	for _, w := range writes {
		etags = append(etags, s.put(w, at))
	}
	if s.faults.LoseResponses > 0 {
		s.faults.LoseResponses--
		s.stats.LostResponses++
		loseResponse = true
	}
	return etags, loseResponse, nil
}

// put applies one write and returns the row's new ETag, empty for a deleted
// row. The caller holds mu.
func (s *Store) put(w platform.Write, at time.Time) string {
	if w.Delete {
		delete(s.rows, w.Key)
		return ""
	}
	s.lastETag++
	etag := strconv.Quote(strconv.FormatUint(s.lastETag, 10))
	s.rows[w.Key] = platform.Row{Key: w.Key, ETag: etag, Value: slices.Clone(w.Value), ModifiedAt: at}
	return etag
}

// PutObject implements platform.ObjectStore.
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if err := s.beginCall(ctx, opWrite); err != nil {
		return err
	}
	s.mu.Lock()
	s.objects[name] = slices.Clone(data)
	s.mu.Unlock()
	return s.finishCall(ctx)
}

// GetObject implements platform.ObjectStore.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	if err := s.beginCall(ctx, opRead); err != nil {
		return nil, false, err
	}
	s.mu.Lock()
	data, ok := s.objects[name]
	s.mu.Unlock()
	if err := s.finishCall(ctx); err != nil {
		return nil, false, err
	}
	return slices.Clone(data), ok, nil
}
