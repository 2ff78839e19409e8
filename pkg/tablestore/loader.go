package tablestore

import (
	"context"
	"encoding/json"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// PatchPrefix is the prefix of the names of the objects that hold patches. The name of
// the content object that the patch results in follows.
const PatchPrefix = "patches/"

// maxPatches is the maximum number of patches that a Loader applies. Across more
// versions it reads the whole content instead.
const maxPatches = 8

// patchObject is the content of an object that holds a patch.
type patchObject struct {
	// Base is the name of the content object that the patch applies to.
	Base  string      `json:"from"`
	Patch table.Patch `json:"patch"`
}

// putPatch stores the patch from old to next. baseObject and object are the names of
// their content objects.
func putPatch(ctx context.Context, o platform.ObjectStore, baseObject string, old, next *table.Tables, object string) error {
	data, err := json.Marshal(patchObject{Base: baseObject, Patch: table.NewPatch(old, next)})
	if err != nil {
		return err
	}
	return o.PutObject(ctx, PatchPrefix+object, data)
}

// Loader loads successive versions of the tables, from patches where possible. It is
// not safe for concurrent use.
type Loader struct {
	objects platform.ObjectStore
	// current is the last loaded version, without defaults; nil before the first load.
	// currentObject is the name of its content object, lastStep the step to it.
	current       *table.Tables
	currentObject string
	lastStep      Step
}

// Step is a version and the patch that results in it. Instances that have the previous
// version apply the patch instead of reading the content.
type Step struct {
	Head Head `json:"head"`
	// Patch is the content of the patch's object. It is empty if the whole content was
	// read.
	Patch []byte `json:"patch,omitempty"`
}

// NewLoader returns a Loader that has not loaded any version and reads from o.
func NewLoader(o platform.ObjectStore) *Loader { return &Loader{objects: o} }

// Load returns the tables of h, as the function Load does. It applies patches to the
// last loaded version where it can. If a patch is missing or invalid, or the result
// does not have the hash in h, it reads the whole content. A failed Load leaves the
// last loaded version unchanged.
func (l *Loader) Load(ctx context.Context, h Head) (*table.Tables, error) {
	step := Step{Head: h}
	t, err := l.loadByPatches(ctx, &step)
	if err != nil {
		step.Patch = nil
		t, err = LoadWithoutDefaults(ctx, l.objects, h)
	}
	if err != nil {
		return nil, err
	}
	return l.setCurrent(t, step), nil
}

// ApplyStep applies a step from another Loader and returns the resulting tables. It
// returns false and changes nothing if the step has no valid patch, if the patch is not
// based on the last loaded version, or if the result is not the content that the step's
// head names.
func (l *Loader) ApplyStep(s Step) (*table.Tables, bool) {
	p, err := decodePatch(s.Head.Object, s.Patch)
	if err != nil || l.current == nil || p.Base != l.currentObject {
		return nil, false
	}
	t, err := l.applyPatches([]table.Patch{p.Patch}, s.Head)
	if err != nil {
		return nil, false
	}
	return l.setCurrent(t, s), true
}

// LastStep returns the step to the last loaded version.
func (l *Loader) LastStep() Step { return l.lastStep }

// LoadContent loads the version h from content that another Loader returned, instead of
// reading it from the object store.
func (l *Loader) LoadContent(h Head, content []byte) (*table.Tables, error) {
	t, err := Decode(content, h)
	if err != nil {
		return nil, err
	}
	return l.setCurrent(t, Step{Head: h}), nil
}

// Content returns the head and the encoded content of the last loaded version, for
// LoadContent of another Loader. Both are empty before the first load.
func (l *Loader) Content() (h Head, content []byte, err error) {
	if l.current == nil {
		return Head{}, nil, nil
	}
	_, content, err = Encode(l.current)
	return l.lastStep.Head, content, err
}

// setCurrent records t as the last loaded version and returns it with its defaults
// filled in.
func (l *Loader) setCurrent(t *table.Tables, s Step) *table.Tables {
	l.current, l.currentObject, l.lastStep = t, s.Head.Object, s
	return t.WithDefaults()
}

// loadByPatches reads the patches from the last loaded version to step's head and
// applies them. It sets step.Patch to the patch that results in step's head.
func (l *Loader) loadByPatches(ctx context.Context, step *Step) (*table.Tables, error) {
	if l.current == nil {
		return nil, noPatchChainError()
	}
	var chain []table.Patch
	for name := step.Head.Object; name != l.currentObject; {
		if len(chain) == maxPatches {
			return nil, noPatchChainError()
		}
		data, p, err := getPatch(ctx, l.objects, name)
		if err != nil {
			return nil, err
		}
		if len(chain) == 0 {
			step.Patch = data
		}
		chain = append(chain, p.Patch)
		name = p.Base
	}
	return l.applyPatches(chain, step.Head)
}

// noPatchChainError returns the error for a version that no chain of at most
// maxPatches patches connects to the last loaded one.
func noPatchChainError() error {
	return fault.New(fault.KindStoreUnavailable, "no chain of patches from the last loaded version")
}

// applyPatches applies the patches of chain, which is ordered from the latest to the
// earliest, to the last loaded version and checks the result against h.
func (l *Loader) applyPatches(chain []table.Patch, h Head) (*table.Tables, error) {
	t := l.current
	for i := len(chain) - 1; i >= 0; i-- {
		t = chain[i].Apply(t)
	}
	_, data, err := Encode(t)
	if err != nil {
		return nil, err
	}
	return Decode(data, h)
}

// getPatch reads the patch that results in the named content object.
func getPatch(ctx context.Context, o platform.ObjectStore, object string) ([]byte, patchObject, error) {
	data, found, err := o.GetObject(ctx, PatchPrefix+object)
	if err != nil {
		return nil, patchObject{}, err
	}
	if !found {
		return nil, patchObject{}, fault.New(fault.KindStoreUnavailable, "object %s has no patch", object)
	}
	p, err := decodePatch(object, data)
	return data, p, err
}

// decodePatch decodes the patch that results in the named content object.
func decodePatch(object string, data []byte) (p patchObject, err error) {
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fault.Wrap(fault.KindInvalidTable, err, "cannot decode the patch to object %s", object)
	}
	return p, nil
}
