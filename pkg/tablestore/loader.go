package tablestore

import (
	"context"
	"encoding/json"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/platform"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// PatchPrefix starts the names of the objects that hold patches; the name of
// the content that the patch leads to follows.
const PatchPrefix = "patches/"

// maxPatches bounds the patches that a Loader follows before it reads the
// whole content.
const maxPatches = 8

// patchObject is the content of a patch's object.
type patchObject struct {
	// Base names the object that the patch starts from.
	Base  string      `json:"from"`
	Patch table.Patch `json:"patch"`
}

// putPatch stores how next follows from the tables that are named from.
func putPatch(ctx context.Context, o platform.Objects, baseObject string, old, next *table.Tables, object string) error {
	data, err := json.Marshal(patchObject{Base: baseObject, Patch: table.NewPatch(old, next)})
	if err != nil {
		return err
	}
	return o.PutObject(ctx, PatchPrefix+object, data)
}

// Loader loads versions one after another, by patches where it can. It is not
// safe for use by several goroutines.
type Loader struct {
	objects platform.Objects
	// current are the tables loaded last, as edited, and name their object.
	current       *table.Tables
	currentObject string
	lastStep      Step
}

// Step is one version and the patch that leads to it, to be passed on to
// those that have the version before.
type Step struct {
	Head Head `json:"head"`
	// Patch is the patch's object; empty when the content was read whole.
	Patch []byte `json:"patch,omitempty"`
}

// NewLoader returns a Loader without any tables.
func NewLoader(o platform.Objects) *Loader { return &Loader{objects: o} }

// Load returns the content of h, as the function Load does. Patches are only
// a short cut: their result must have the hash that h names, or the whole
// content is read.
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

// ApplyStep takes the step that another Loader made. It reports false, and
// changes nothing, when the step does not start from the tables loaded last
// or does not lead to the content that its head names.
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

// LastStep returns the step to the tables loaded last.
func (l *Loader) LastStep() Step { return l.lastStep }

// LoadContent keeps content that came from another Loader, as Load does with what
// it reads itself.
func (l *Loader) LoadContent(h Head, content []byte) (*table.Tables, error) {
	t, err := Decode(content, h)
	if err != nil {
		return nil, err
	}
	return l.setCurrent(t, Step{Head: h}), nil
}

// Content returns the content of the tables loaded last, for Take. It is
// empty before the first.
func (l *Loader) Content() (h Head, content []byte, err error) {
	if l.current == nil {
		return Head{}, nil, nil
	}
	_, content, err = Encode(l.current)
	return l.lastStep.Head, content, err
}

// setCurrent keeps t as the tables loaded last and fills its defaults.
func (l *Loader) setCurrent(t *table.Tables, s Step) *table.Tables {
	l.current, l.currentObject, l.lastStep = t, s.Head.Object, s
	return t.WithDefaults()
}

// loadByPatches follows the patches that lead from the tables loaded last to the
// head of s. It keeps the last of them in s.
func (l *Loader) loadByPatches(ctx context.Context, step *Step) (*table.Tables, error) {
	var chain []table.Patch
	for name := step.Head.Object; name != l.currentObject; {
		if l.current == nil || len(chain) == maxPatches {
			return nil, fault.New(fault.KindStoreUnavailable, "no short way by patches")
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

// applyPatches makes the patches, the latest first, and checks the result against h.
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

// getPatch reads the patch that leads to the named content.
func getPatch(ctx context.Context, o platform.Objects, object string) ([]byte, patchObject, error) {
	data, found, err := o.GetObject(ctx, PatchPrefix+object)
	if err != nil {
		return nil, patchObject{}, err
	}
	if !found {
		return nil, patchObject{}, fault.New(fault.KindStoreUnavailable, "%s has no patch", object)
	}
	p, err := decodePatch(object, data)
	return data, p, err
}

// decodePatch reads a patch's object.
func decodePatch(name string, data []byte) (p patchObject, err error) {
	if err := json.Unmarshal(data, &p); err != nil {
		return p, fault.Wrap(fault.KindInvalidTable, err, "the patch of %s can't be read", name)
	}
	return p, nil
}
