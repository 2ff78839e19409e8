package tablestore

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
)

// commitOutcome is the outcome of one commit of the head on a fakePlatform.
type commitOutcome int

const (
	applied commitOutcome = iota
	// lostAfterApply applies the commit and loses the reply.
	lostAfterApply
	// lostBeforeApply loses the request, so that the outcome is reported as unknown.
	lostBeforeApply
	// unavailable fails the commit without applying it.
	unavailable
)

// fakePlatform is an in-memory platform with scripted outcomes for commits of the head.
type fakePlatform struct {
	mu      sync.Mutex
	now     time.Time
	etag    int
	rows    map[string]platform.Row
	objects map[string][]byte
	// script holds the outcomes of the next commits of the head; later ones are applied.
	script []commitOutcome
	// down fails every Get and Commit.
	down bool
	// beforeCommit, if set, is called before each commit of the head, without mu held.
	beforeCommit func()
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{now: time.Unix(1_800_000_000, 0).UTC(), rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

func (f *fakePlatform) Get(_ context.Context, key, ifNoneMatch string) (platform.Row, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, false, fault.New(fault.KindStoreUnavailable, "down")
	}
	row := f.rows[key]
	if row.ETag == ifNoneMatch && ifNoneMatch != "" {
		return platform.Row{}, false, nil
	}
	return row, true, nil
}

func (f *fakePlatform) List(_ context.Context, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for k, r := range f.rows {
		if strings.HasPrefix(k, prefix) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (f *fakePlatform) Commit(_ context.Context, writes []platform.Write) ([]string, error) {
	head := writes[0].Key == CurrentKey
	if head && f.beforeCommit != nil {
		f.beforeCommit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, fault.New(fault.KindStoreUnavailable, "down")
	}
	outcome := applied
	if head && len(f.script) > 0 {
		outcome, f.script = f.script[0], f.script[1:]
	}
	switch outcome {
	case unavailable:
		return nil, fault.New(fault.KindStoreUnavailable, "refused")
	case lostBeforeApply:
		return nil, fault.New(fault.KindStoreAmbiguous, "no reply")
	}
	etags, err := f.apply(writes)
	if outcome == lostAfterApply && err == nil {
		return nil, fault.New(fault.KindStoreAmbiguous, "no reply")
	}
	return etags, err
}

func (f *fakePlatform) apply(writes []platform.Write) ([]string, error) {
	for _, w := range writes {
		if f.rows[w.Key].ETag != w.IfMatch {
			return nil, fault.New(fault.KindEditConflict, "row %s", w.Key)
		}
	}
	f.now = f.now.Add(time.Second)
	var etags []string
	for _, w := range writes {
		f.etag++
		etags = append(etags, fmt.Sprint(f.etag))
		f.rows[w.Key] = platform.Row{Key: w.Key, ETag: fmt.Sprint(f.etag), Value: w.Value, ModifiedAt: f.now}
	}
	return etags, nil
}

func (f *fakePlatform) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = data
	return nil
}

func (f *fakePlatform) GetObject(_ context.Context, name string) ([]byte, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, ok := f.objects[name]
	return data, ok, nil
}
