package tablestore

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// FuzzApplyStep applies arbitrary steps. If a step is accepted, the resulting tables
// must be valid and have the version of its head.
func FuzzApplyStep(f *testing.F) {
	store := newFakePlatform()
	first, err := Accept(context.Background(), store, store, newEdit("a", 0, 4))
	if err != nil {
		f.Fatal(err)
	}
	second, err := Accept(context.Background(), store, store, newEdit("b", 1, 5))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(store.objects[PatchPrefix+second.Object], second.Object, second.Version)
	f.Add([]byte(`{"from":"`+first.Object+`","patch":{"version":2,"pools":{"order":["p","p",""],"remove":["p"],"set":[{}]}}}`), second.Object, uint64(2))
	f.Add([]byte(`{"from":"`+first.Object+`","patch":null}`), first.Object, uint64(1))
	f.Fuzz(func(t *testing.T, patch []byte, object string, version uint64) {
		l := NewLoader(store)
		if _, err := l.Load(context.Background(), first); err != nil {
			t.Fatal(err)
		}
		got, ok := l.ApplyStep(Step{Head: Head{Version: version, Object: object}, Patch: patch})
		if ok && (got.Validate() != nil || got.Version != version) {
			t.Fatalf("the step resulted in %+v", got)
		}
	})
}

// FuzzDecode decodes arbitrary content. Decoded tables must be valid and have the
// version of the head.
func FuzzDecode(f *testing.F) {
	_, data, err := Encode(&table.Tables{Version: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"version":1,"routes":[{"name":"r","timeout":"1h"}],"pools":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := Decode(data, Head{Version: 1, Object: objectName(data)})
		if err == nil && (got.Version != 1 || got.Validate() != nil) {
			t.Fatalf("decoded to %+v", got)
		}
		_ = json.Unmarshal(data, &Head{})
	})
}
