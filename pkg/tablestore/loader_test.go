package tablestore

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// countingPlatform counts the reads of patches and of content objects.
type countingPlatform struct {
	*fakePlatform
	patchReads, contentReads int
}

func (r *countingPlatform) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	if strings.HasPrefix(name, PatchPrefix) {
		r.patchReads++
	} else {
		r.contentReads++
	}
	return r.fakePlatform.GetObject(ctx, name)
}

// fiveVersions returns a platform with versions 1 to 5, and their heads by version.
func fiveVersions(t *testing.T) (*countingPlatform, []Head) {
	f := newFakePlatform()
	heads := []Head{{}}
	for v := range 5 {
		heads = append(heads, mustAccept(t, f, newEdit(fmt.Sprint(v), uint64(v), 4+v)))
	}
	return &countingPlatform{fakePlatform: f}, heads
}

// checkLoad fails the test unless l loads the same tables for h as the function Load.
func checkLoad(t *testing.T, l *Loader, r *countingPlatform, h Head) {
	t.Helper()
	got, err := l.Load(context.Background(), h)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Load(context.Background(), r.fakePlatform, h)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v: loaded %+v, want %+v", err, got, want)
	}
}

func TestLaterVersionsAreLoadedFromPatches(t *testing.T) {
	r, heads := fiveVersions(t)
	l := NewLoader(r)
	checkLoad(t, l, r, heads[1])
	checkLoad(t, l, r, heads[2])
	if r.contentReads != 1 || r.patchReads != 1 {
		t.Fatalf("%d contents and %d patches were read", r.contentReads, r.patchReads)
	}
	checkLoad(t, l, r, heads[5])
	if r.contentReads != 1 || r.patchReads != 4 {
		t.Fatalf("%d contents and %d patches were read", r.contentReads, r.patchReads)
	}
}

func TestInvalidPatchesFallBackToContent(t *testing.T) {
	for name, corrupt := range map[string]func(r *countingPlatform, heads []Head){
		"missing":  func(r *countingPlatform, hs []Head) { delete(r.objects, PatchPrefix+hs[4].Object) },
		"not JSON": func(r *countingPlatform, hs []Head) { r.objects[PatchPrefix+hs[4].Object] = []byte("{") },
		"of another version": func(r *countingPlatform, hs []Head) {
			r.objects[PatchPrefix+hs[4].Object] = r.objects[PatchPrefix+hs[3].Object]
		},
		"cyclic": func(r *countingPlatform, hs []Head) {
			r.objects[PatchPrefix+hs[4].Object] = r.objects[PatchPrefix+hs[5].Object]
		},
	} {
		t.Run(name, func(t *testing.T) {
			r, heads := fiveVersions(t)
			l := NewLoader(r)
			checkLoad(t, l, r, heads[2])
			corrupt(r, heads)
			checkLoad(t, l, r, heads[5])
		})
	}
}

func TestFailedLoadKeepsCurrentTables(t *testing.T) {
	r, heads := fiveVersions(t)
	l := NewLoader(r)
	checkLoad(t, l, r, heads[4])
	content, patch := r.objects[heads[5].Object], r.objects[PatchPrefix+heads[5].Object]
	delete(r.objects, heads[5].Object)
	delete(r.objects, PatchPrefix+heads[5].Object)
	if _, err := l.Load(context.Background(), heads[5]); fault.KindOf(err) != fault.KindStoreUnavailable {
		t.Fatalf("err = %v", err)
	}
	r.objects[heads[5].Object], r.objects[PatchPrefix+heads[5].Object] = content, patch
	before := r.contentReads
	checkLoad(t, l, r, heads[5])
	if r.contentReads != before {
		t.Fatal("the failed load discarded the tables loaded before")
	}
}

func TestStepsAreAppliedByAnotherLoader(t *testing.T) {
	r, heads := fiveVersions(t)
	first, second := NewLoader(r), NewLoader(r)
	checkLoad(t, first, r, heads[1])
	checkLoad(t, second, r, heads[1])
	for _, h := range heads[2:] {
		checkLoad(t, first, r, h)
		got, ok := second.ApplyStep(first.LastStep())
		if !ok || got.Version != h.Version || !got.AcceptedAt.Equal(h.AcceptedAt) {
			t.Fatalf("version %d: applied = %v, tables = %+v", h.Version, ok, got)
		}
	}
	if r.contentReads != 2 {
		t.Fatalf("%d contents were read", r.contentReads)
	}
}

func TestMismatchedStepsAreRejected(t *testing.T) {
	r, heads := fiveVersions(t)
	ahead, behind := NewLoader(r), NewLoader(r)
	checkLoad(t, ahead, r, heads[3])
	checkLoad(t, ahead, r, heads[4])
	step := ahead.LastStep()
	if _, ok := NewLoader(r).ApplyStep(step); ok {
		t.Fatal("a loader without tables applied a step")
	}
	checkLoad(t, behind, r, heads[2])
	if _, ok := behind.ApplyStep(step); ok {
		t.Fatal("a step from another version was applied")
	}
	checkLoad(t, behind, r, heads[3])
	forged := step
	forged.Patch = []byte(strings.Replace(string(step.Patch), `"slots":7`, `"slots":8`, 1))
	if _, ok := behind.ApplyStep(forged); ok || string(forged.Patch) == string(step.Patch) {
		t.Fatal("a step to other content was applied")
	}
	if _, ok := behind.ApplyStep(step); !ok {
		t.Fatal("the matching step was not applied after the mismatched ones")
	}
}

// TestFirstLoadOfZeroHeadReturnsEmptyTables covers an instance that starts before the
// first edit.
func TestFirstLoadOfZeroHeadReturnsEmptyTables(t *testing.T) {
	r, heads := fiveVersions(t)
	l := NewLoader(r)
	checkLoad(t, l, r, Head{})
	checkLoad(t, l, r, heads[2])
}
