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

// resultKind is how one operation on the tables register ended.
type resultKind uint8

const (
	accepted resultKind = iota
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
	kind    resultKind
	version uint64
	id      string
}

// registerState is the ids of the accepted edits, joined; the index is the version.
type registerState []string

// registerModel is the sequential specification: version n+1 is accepted only
// on version n, an edit at most once, and a conflict names the version that
// came first.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState(nil)} },
	Step: func(st, in, out any) []any {
		s, i, o := st.(registerState), in.(input), out.(output)
		alreadyAccepted := i.base < uint64(len(s)) && s[i.base] == i.id
		isNext := i.base == uint64(len(s))
		switch o.kind {
		case read:
			if o.version == uint64(len(s)) && (o.version == 0 || s[o.version-1] == o.id) {
				return []any{s}
			}
		case accepted:
			if o.version != i.base+1 || o.id != i.id {
				return nil
			}
			if alreadyAccepted {
				return []any{s}
			}
			if isNext {
				return []any{append(slices.Clone(s), i.id)}
			}
		case conflicted:
			if o.version == uint64(len(s)) && !alreadyAccepted && !isNext {
				return []any{s}
			}
		case notAccepted:
			return []any{s}
		case unknown:
			if isNext {
				return []any{s, append(slices.Clone(s), i.id)}
			}
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return slices.Equal(a.(registerState), b.(registerState)) },
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
	if out.kind == unknown {
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
		return output{kind: accepted, version: h.Version, id: h.EditID}
	case errors.As(err, &c):
		return output{kind: conflicted, version: c.Current.Version}
	case fault.KindOf(err) == fault.KindStoreAmbiguous:
		return output{kind: unknown}
	}
	return output{kind: notAccepted}
}

// faultyTables loses answers and commits of the store, delays the effect of others,
// and refuses calls for a while, by a seeded source.
type faultyTables struct {
	platform.Tables
	mu      sync.Mutex
	rand    *rand.Rand
	outage  int
	delayed [][]platform.Write
}

const (
	lostReplyRate     = 0.25
	lostCommitRate    = 0.1
	delayedCommitRate = 0.15
	outageRate        = 0.02
	outageCalls       = 12
)

// beforeCall counts down an outage, and lets a delayed commit arrive.
func (f *faultyTables) beforeCall(ctx context.Context) error {
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
	if f.rand.Float64() < outageRate {
		f.outage = outageCalls
	}
	return nil
}

func (f *faultyTables) Get(ctx context.Context, key, etag string) (platform.Row, bool, error) {
	if err := f.beforeCall(ctx); err != nil {
		return platform.Row{}, false, err
	}
	return f.Tables.Get(ctx, key, etag)
}

func (f *faultyTables) Commit(ctx context.Context, ws []platform.Write) ([]string, error) {
	if err := f.beforeCall(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	p := f.rand.Float64()
	if p >= lostReplyRate+lostCommitRate && p < lostReplyRate+lostCommitRate+delayedCommitRate {
		f.delayed = append(f.delayed, ws)
	}
	f.mu.Unlock()
	errLost := fault.New(fault.KindStoreAmbiguous, "no answer")
	if p >= lostReplyRate && p < lostReplyRate+lostCommitRate+delayedCommitRate {
		return nil, errLost
	}
	etags, err := f.Tables.Commit(ctx, ws)
	if err == nil && p < lostReplyRate {
		return nil, errLost
	}
	return etags, err
}

const (
	operators        = 4
	editsPerOperator = 6
	registerRuns     = 20
	checkTimeout     = 30 * time.Second
)

// runHistory lets operators race on one store and returns the history.
func runHistory(seed uint64, accept acceptFunc) []porcupine.Operation {
	ctx := context.Background()
	store := standin.New(time.Now)
	tables := &faultyTables{Tables: store, rand: rand.New(rand.NewPCG(seed, 1))}
	rec := &recorder{}
	var wg conc.WaitGroup
	for client := range operators {
		wg.Go(func() {
			for n := range editsPerOperator {
				current := rec.record(client, input{}, func() output {
					h, _, _, err := ReadHead(ctx, tables, "")
					if err != nil {
						return output{kind: notAccepted}
					}
					return output{kind: read, version: h.Version, id: h.EditID}
				})
				if current.kind != read {
					continue
				}
				e := newEdit(fmt.Sprintf("op%d-%d", client, n), current.version, 1+client)
				for range 2 {
					out := rec.record(client, input{id: e.ID, base: current.version}, func() output {
						return outputOf(accept(ctx, tables, store, e))
					})
					if out.kind != unknown {
						break
					}
				}
			}
		})
	}
	wg.Wait()
	return rec.ops
}

// checkLinearizable reports whether the history has a legal order.
func checkLinearizable(ops []porcupine.Operation) porcupine.CheckResult {
	m := registerModel.ToModel()
	return porcupine.CheckOperationsTimeout(m, ops, checkTimeout)
}

func TestTablesRegisterIsLinearizable(t *testing.T) {
	edits := 0
	for seed := range uint64(registerRuns) {
		ops := runHistory(seed, Accept)
		if got := checkLinearizable(ops); got != porcupine.Ok {
			t.Fatalf("seed %d: %v\n%v", seed, got, ops)
		}
		for _, op := range ops {
			if op.Output.(output).kind == accepted {
				edits++
			}
		}
	}
	if edits < registerRuns {
		t.Fatalf("only %d edits were accepted", edits)
	}
}

// acceptWithoutReadBack is a mutation: after a lost answer it takes the head as its new
// base without looking for its own id.
func acceptWithoutReadBack(ctx context.Context, t platform.Tables, o platform.Objects, e Edit) (Head, error) {
	e.Retry = RetryPolicy{MaxAttempts: 1, InitialInterval: time.Microsecond, MaxInterval: time.Microsecond}
	for range fastRetry.MaxAttempts {
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

// acceptOnCurrentVersion is a mutation: it edits whatever version is current.
func acceptOnCurrentVersion(ctx context.Context, t platform.Tables, o platform.Objects, e Edit) (Head, error) {
	head, _, _, err := ReadHead(ctx, t, "")
	if err != nil {
		return Head{}, err
	}
	tables := e.Tables.Clone()
	tables.Version = head.Version
	e.Tables = tables
	return Accept(ctx, t, o, e)
}

func TestRegisterCheckRejectsMutations(t *testing.T) {
	for name, accept := range map[string]acceptFunc{
		"lost answer is not read back": acceptWithoutReadBack,
		"base version is not compared": acceptOnCurrentVersion,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(registerRuns) {
				if checkLinearizable(runHistory(seed, accept)) == porcupine.Illegal {
					return
				}
			}
			t.Fatal("no history was found illegal")
		})
	}
}
