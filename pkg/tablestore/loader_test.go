package tablestore

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// reads counts the objects read by kind.
type reads struct {
	*fake
	patches, contents int
}

func (r *reads) GetObject(ctx context.Context, name string) ([]byte, bool, error) {
	if strings.HasPrefix(name, PatchPrefix) {
		r.patches++
	} else {
		r.contents++
	}
	return r.fake.GetObject(ctx, name)
}

// fiveVersions returns a platform with versions 1 to 5 and their heads.
func fiveVersions(t *testing.T) (*reads, []Head) {
	f := newFake()
	heads := []Head{{}}
	for v := range 5 {
		heads = append(heads, mustAccept(t, f, edit(fmt.Sprint(v), uint64(v), 4+v)))
	}
	return &reads{fake: f}, heads
}

// loadOf fails unless the loader gives the same as Load.
func loadOf(t *testing.T, l *Loader, r *reads, h Head) {
	t.Helper()
	got, err := l.Load(context.Background(), h)
	if err != nil {
		t.Fatal(err)
	}
	want, err := Load(context.Background(), r.fake, h)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("%v: loaded %+v, want %+v", err, got, want)
	}
}

func TestLaterVersionsAreLoadedByTheirPatches(t *testing.T) {
	r, heads := fiveVersions(t)
	l := NewLoader(r)
	loadOf(t, l, r, heads[1])
	loadOf(t, l, r, heads[2])
	if r.contents != 1 || r.patches != 1 {
		t.Fatalf("%d contents and %d patches were read", r.contents, r.patches)
	}
	loadOf(t, l, r, heads[5])
	if r.contents != 1 || r.patches != 4 {
		t.Fatalf("%d contents and %d patches were read", r.contents, r.patches)
	}
}

func TestWrongPatchesCostOnlyAReadOfTheContent(t *testing.T) {
	for name, spoil := range map[string]func(r *reads, heads []Head){
		"missing":            func(r *reads, hs []Head) { delete(r.objects, PatchPrefix+hs[4].Object) },
		"not JSON":           func(r *reads, hs []Head) { r.objects[PatchPrefix+hs[4].Object] = []byte("{") },
		"of another version": func(r *reads, hs []Head) { r.objects[PatchPrefix+hs[4].Object] = r.objects[PatchPrefix+hs[3].Object] },
		"in a circle":        func(r *reads, hs []Head) { r.objects[PatchPrefix+hs[4].Object] = r.objects[PatchPrefix+hs[5].Object] },
	} {
		t.Run(name, func(t *testing.T) {
			r, heads := fiveVersions(t)
			l := NewLoader(r)
			loadOf(t, l, r, heads[2])
			spoil(r, heads)
			loadOf(t, l, r, heads[5])
		})
	}
}

func TestLoaderKeepsItsTablesThroughAFailure(t *testing.T) {
	r, heads := fiveVersions(t)
	l := NewLoader(r)
	loadOf(t, l, r, heads[4])
	content, patch := r.objects[heads[5].Object], r.objects[PatchPrefix+heads[5].Object]
	delete(r.objects, heads[5].Object)
	delete(r.objects, PatchPrefix+heads[5].Object)
	if _, err := l.Load(context.Background(), heads[5]); fault.KindOf(err) != fault.KindStoreUnavailable {
		t.Fatalf("err = %v", err)
	}
	r.objects[heads[5].Object], r.objects[PatchPrefix+heads[5].Object] = content, patch
	before := r.contents
	loadOf(t, l, r, heads[5])
	if r.contents != before {
		t.Fatal("the tables loaded before the failure were lost")
	}
}

func TestStepsArePassedOnFromLoaderToLoader(t *testing.T) {
	r, heads := fiveVersions(t)
	first, second := NewLoader(r), NewLoader(r)
	loadOf(t, first, r, heads[1])
	loadOf(t, second, r, heads[1])
	for _, h := range heads[2:] {
		loadOf(t, first, r, h)
		got, ok := second.ApplyStep(first.LastStep())
		if !ok || got.Version != h.Version || !got.AcceptedAt.Equal(h.AcceptedAt) {
			t.Fatalf("version %d: followed %v to %+v", h.Version, ok, got)
		}
	}
	if r.contents != 2 {
		t.Fatalf("%d contents were read", r.contents)
	}
}

func TestStepsThatDoNotFitAreNotFollowed(t *testing.T) {
	r, heads := fiveVersions(t)
	ahead, behind := NewLoader(r), NewLoader(r)
	loadOf(t, ahead, r, heads[3])
	loadOf(t, ahead, r, heads[4])
	step := ahead.LastStep()
	if _, ok := NewLoader(r).ApplyStep(step); ok {
		t.Fatal("a loader without tables followed a step")
	}
	loadOf(t, behind, r, heads[2])
	if _, ok := behind.ApplyStep(step); ok {
		t.Fatal("a step from another version was followed")
	}
	loadOf(t, behind, r, heads[3])
	forged := step
	forged.Patch = []byte(strings.Replace(string(step.Patch), `"slots":7`, `"slots":8`, 1))
	if _, ok := behind.ApplyStep(forged); ok || string(forged.Patch) == string(step.Patch) {
		t.Fatal("a step to other content was followed")
	}
	if _, ok := behind.ApplyStep(step); !ok {
		t.Fatal("the right step was not followed after the wrong ones")
	}
}
