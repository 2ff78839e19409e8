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

// resultKind is the kind of result of one operation on the tables register.
type resultKind uint8

const (
	accepted resultKind = iota
	conflicted
	notAccepted
	unknown
	read
)

// input is an edit based on version base, or a read if id is empty.
type input struct {
	id   string
	base uint64
}

// output is the result of an operation, with the version that was read or accepted, or
// that the edit conflicted with.
type output struct {
	kind    resultKind
	version uint64
	id      string
}

// registerState holds the ids of the accepted edits. The edit at index i made version
// i+1.
type registerState []string

// registerModel is the sequential specification: version n+1 is accepted only on
// version n, an edit is accepted at most once, and a conflict reports the current
// version. An edit with an unknown outcome may have been accepted or not.
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

// acceptFunc is the type of Accept and its mutations.
type acceptFunc func(context.Context, platform.TableService, platform.ObjectStore, Edit) (Head, error)

// recorder records the history of the operations.
type recorder struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

// record runs one operation and records it. An operation with an unknown outcome is
// recorded without an end, because it may take effect at any later time.
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

// outputOf returns the output for the result of an edit.
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

// faultyTables is a table service with random faults from a seeded source: lost replies,
// lost commits, commits that take effect later, and outages in which all calls fail.
type faultyTables struct {
	platform.TableService
	mu      sync.Mutex
	rand    *rand.Rand
	outage  int // remaining calls that fail
	delayed [][]platform.Write
}

// Probabilities of the faults per call, and length of an outage in calls.
const (
	lostReplyRate     = 0.25
	lostCommitRate    = 0.1
	delayedCommitRate = 0.15
	outageRate        = 0.02
	outageCalls       = 12
)

// beforeCall may apply a delayed commit, and returns an error during an outage.
func (f *faultyTables) beforeCall(ctx context.Context) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delayed) > 0 && f.rand.Float64() < 0.5 {
		_, _ = f.TableService.Commit(ctx, f.delayed[0])
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
	return f.TableService.Get(ctx, key, etag)
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
	errLost := fault.New(fault.KindStoreAmbiguous, "no reply")
	if p >= lostReplyRate && p < lostReplyRate+lostCommitRate+delayedCommitRate {
		return nil, errLost
	}
	etags, err := f.TableService.Commit(ctx, ws)
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

// runHistory runs operators that edit the tables concurrently and returns the history.
// An edit with an unknown outcome is submitted a second time with the same id.
func runHistory(seed uint64, accept acceptFunc) []porcupine.Operation {
	ctx := context.Background()
	store := standin.New(time.Now)
	tables := &faultyTables{TableService: store, rand: rand.New(rand.NewPCG(seed, 1))}
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

// checkHistory checks whether the history is linearizable by registerModel.
func checkHistory(ops []porcupine.Operation) porcupine.CheckResult {
	m := registerModel.ToModel()
	return porcupine.CheckOperationsTimeout(m, ops, checkTimeout)
}

func TestTablesRegisterIsLinearizable(t *testing.T) {
	edits := 0
	for seed := range uint64(registerRuns) {
		ops := runHistory(seed, Accept)
		if got := checkHistory(ops); got != porcupine.Ok {
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

// acceptWithoutReadBack is a mutation of Accept: after a lost reply, it uses the head as
// its new base without checking for its own id.
func acceptWithoutReadBack(ctx context.Context, t platform.TableService, o platform.ObjectStore, e Edit) (Head, error) {
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

// acceptOnCurrentVersion is a mutation of Accept: it ignores the base of the edit and
// uses the current version.
func acceptOnCurrentVersion(ctx context.Context, t platform.TableService, o platform.ObjectStore, e Edit) (Head, error) {
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
		"lost reply is not read back":  acceptWithoutReadBack,
		"base version is not compared": acceptOnCurrentVersion,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(registerRuns) {
				if checkHistory(runHistory(seed, accept)) == porcupine.Illegal {
					return
				}
			}
			t.Fatal("no history was found to be illegal")
		})
	}
}
