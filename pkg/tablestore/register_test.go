package tablestore

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	standin "github.com/jacinthramp/jacinthramp/pkg/standin/platform"
)

// verdict is how one operation on the tables register ended.
type verdict uint8

const (
	accepted verdict = iota
	conflicted
	notAccepted
	unknown
	read
)

// input is an edit of a base version, or a read when the id is empty.
type input struct {
	id   string
	base uint64
}

// output is the version that was read, accepted or conflicted with.
type output struct {
	verdict verdict
	version uint64
	id      string
}

// state is the ids of the accepted edits, joined; the index is the version.
type state []string

// registerModel is the sequential specification: version n+1 is accepted only
// on version n, an edit at most once, and a conflict names the version that
// came first.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state(nil)} },
	Step: func(st, in, out any) []any {
		s, i, o := st.(state), in.(input), out.(output)
		mine := i.base < uint64(len(s)) && s[i.base] == i.id
		free := i.base == uint64(len(s))
		switch o.verdict {
		case read:
			if o.version == uint64(len(s)) && (o.version == 0 || s[o.version-1] == o.id) {
				return []any{s}
			}
		case accepted:
			if o.version != i.base+1 || o.id != i.id {
				return nil
			}
			if mine {
				return []any{s}
			}
			if free {
				return []any{append(slices.Clone(s), i.id)}
			}
		case conflicted:
			if o.version == uint64(len(s)) && !mine && !free {
				return []any{s}
			}
		case notAccepted:
			return []any{s}
		case unknown:
			if free {
				return []any{s, append(slices.Clone(s), i.id)}
			}
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(state), b.(state)) },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// acceptFunc is Accept, or a mutation of it.
type acceptFunc func(context.Context, platform.Tables, platform.Objects, Edit) (Head, error)

// recorder collects the history of the operations.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

// record runs one operation and keeps it. One whose outcome is not known may
// take effect at any later time.
func (r *recorder) record(client int, in input, run func() output) output {
	call := r.clock.Add(1)
	out := run()
	ret := r.clock.Add(1)
	if out.verdict == unknown {
		ret = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
	return out
}

// outputOf classifies the answer of an edit.
func outputOf(h Head, err error) output {
	var c *ConflictError
	switch {
	case err == nil:
		return output{verdict: accepted, version: h.Version, id: h.EditID}
	case errors.As(err, &c):
		return output{verdict: conflicted, version: c.Current.Version}
	case fault.KindOf(err) == fault.KindStoreAmbiguous:
		return output{verdict: unknown}
	}
	return output{verdict: notAccepted}
}

// faulty loses answers and commits of the store, delays the effect of others,
// and refuses calls for a while, by a seeded source.
type faulty struct {
	platform.Tables
	mu      sync.Mutex
	rand    *rand.Rand
	outage  int
	delayed [][]platform.Write
}

const (
	loseAnswer = 0.25
	loseCommit = 0.1
	delayed    = 0.15
	goDown     = 0.02
	downCalls  = 12
)

// admit counts down an outage, and lets a delayed commit arrive.
func (f *faulty) admit(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delayed) > 0 && f.rand.Float64() < 0.5 {
		_, _ = f.Tables.Commit(ctx, f.delayed[0])
		f.delayed = f.delayed[1:]
	}
	if f.outage > 0 {
		f.outage--
		return fault.New(fault.KindStoreUnavailable, "outage")
	}
	if f.rand.Float64() < goDown {
		f.outage = downCalls
	}
	return nil
}

func (f *faulty) Get(ctx context.Context, key, etag string) (platform.Row, bool, error) {
	if err := f.admit(ctx); err != nil {
		return platform.Row{}, false, err
	}
	return f.Tables.Get(ctx, key, etag)
}

func (f *faulty) Commit(ctx context.Context, ws []platform.Write) ([]string, error) {
	if err := f.admit(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	p := f.rand.Float64()
	if p >= loseAnswer+loseCommit && p < loseAnswer+loseCommit+delayed {
		f.delayed = append(f.delayed, ws)
	}
	f.mu.Unlock()
	lost := fault.New(fault.KindStoreAmbiguous, "no answer")
	if p >= loseAnswer && p < loseAnswer+loseCommit+delayed {
		return nil, lost
	}
	etags, err := f.Tables.Commit(ctx, ws)
	if err == nil && p < loseAnswer {
		return nil, lost
	}
	return etags, err
}

const (
	operators     = 4
	editsEach     = 6
	registerRuns  = 20
	checkDeadline = 30 * time.Second
)

// runHistory lets operators race on one store and returns the history.
func runHistory(seed uint64, accept acceptFunc) []porcupine.Operation {
	ctx := context.Background()
	store := standin.New(time.Now)
	tables := &faulty{Tables: store, rand: rand.New(rand.NewPCG(seed, 1))}
	rec := &recorder{}
	var wg conc.WaitGroup
	for client := range operators {
		wg.Go(func() {
			for n := range editsEach {
				seen := rec.record(client, input{}, func() output {
					h, _, _, err := ReadHead(ctx, tables, "")
					if err != nil {
						return output{verdict: notAccepted}
					}
					return output{verdict: read, version: h.Version, id: h.EditID}
				})
				if seen.verdict != read {
					continue
				}
				e := edit(fmt.Sprintf("op%d-%d", client, n), seen.version, 1+client)
				for range 2 {
					out := rec.record(client, input{id: e.ID, base: seen.version}, func() output {
						return outputOf(accept(ctx, tables, store, e))
					})
					if out.verdict != unknown {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	return rec.ops
}

// isLegal reports whether the history has a legal order.
func isLegal(ops []porcupine.Operation) porcupine.CheckResult {
	m := registerModel.ToModel()
	return porcupine.CheckOperationsTimeout(m, ops, checkDeadline)
}

func TestTablesRegisterIsLinearizable(t *testing.T) {
	edits := 0
	for seed := range uint64(registerRuns) {
		ops := runHistory(seed, Accept)
		if got := isLegal(ops); got != porcupine.Ok {
			t.Fatalf("seed %d: %v\n%v", seed, got, ops)
		}
		for _, op := range ops {
			if op.Output.(output).verdict == accepted {
				edits++
			}
		}
	}
	if edits < registerRuns {
		t.Fatalf("only %d edits were accepted", edits)
	}
}

// acceptBlind is a mutation: after a lost answer it takes the head as its new
// base without looking for its own id.
func acceptBlind(ctx context.Context, t platform.Tables, o platform.Objects, e Edit) (Head, error) {
	e.Retry = RetryPolicy{MaxAttempts: 1, InitialInterval: time.Microsecond, MaxInterval: time.Microsecond}
	for range quick.MaxAttempts {
		h, err := Accept(ctx, t, o, e)
		if fault.KindOf(err) != fault.KindStoreAmbiguous {
			return h, err
		}
		if head, _, _, err := ReadHead(ctx, t, ""); err == nil {
			tables := e.Tables.Clone()
			tables.Version = head.Version
			e.Tables = tables
		}
	}
	return Head{}, fault.New(fault.KindStoreUnavailable, "gave up")
}

// acceptOver is a mutation: it edits whatever version is current.
func acceptOver(ctx context.Context, t platform.Tables, o platform.Objects, e Edit) (Head, error) {
	head, _, _, err := ReadHead(ctx, t, "")
	if err != nil {
		return Head{}, err
	}
	tables := e.Tables.Clone()
	tables.Version = head.Version
	e.Tables = tables
	return Accept(ctx, t, o, e)
}

func TestRegisterCheckCatchesMutations(t *testing.T) {
	for name, accept := range map[string]acceptFunc{
		"lost answer is not read back": acceptBlind,
		"base version is not compared": acceptOver,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(registerRuns) {
				if isLegal(runHistory(seed, accept)) == porcupine.Illegal {
					return
				}
			}
			t.Fatal("no history was found illegal")
		})
	}
}
