package instance

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// configOf returns the entry of a configuration with n routes.
func configOf(n int) []catalog.Entry {
	c := &catalog.Config{Version: 7}
	for i := range n {
		c.Routes = append(c.Routes, table.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("h%d.example", i%40), PathPrefix: fmt.Sprintf("/p%06x/", i*104729),
			Idempotency: table.IdempotentAlways, Affinity: true, MaxAttempts: 2, Timeout: table.Duration(time.Second),
			Pools: []table.PoolWeight{{Pool: "feedlog", Weight: 1}},
		})
	}
	return []catalog.Entry{{Topic: catalog.Operators, Key: "config", Version: 9, Config: c}}
}

func TestEntriesArriveAsTheyWere(t *testing.T) {
	for _, list := range [][]catalog.Entry{nil, configOf(1), configOf(300)} {
		frame, err := Codec{}.AppendFrame(nil, &AnnounceRequest{Entries: NewEncodedEntries(list)})
		if err != nil {
			t.Fatal(err)
		}
		got := read(t, frame)
		if len(got.Entries.List()) != len(list) || len(list) > 0 && !reflect.DeepEqual(got.Entries.List(), list) {
			t.Errorf("%d entries arrive as %+v", len(list), got.Entries.List())
		}
	}
	frame, err := Codec{}.AppendFrame(nil, &AnnounceRequest{})
	if err != nil || read(t, frame).Entries.List() != nil {
		t.Errorf("an announcement without entries: %v", err)
	}
}

// TestEntriesAreEncodedOnce for the many instances that are told of them.
func TestEntriesAreEncodedOnce(t *testing.T) {
	q := &AnnounceRequest{Entries: NewEncodedEntries(configOf(1400))}
	first, second := allocated(t, q), allocated(t, q)
	if second*4 > first {
		t.Errorf("the first message takes %d bytes of memory, the second %d: want a quarter at most", first, second)
	}
}

// allocated returns the bytes that are allocated to encode q.
func allocated(t *testing.T, q *AnnounceRequest) uint64 {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := (Codec{}).AppendFrame(nil, q); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

func TestEntriesThatCannotBeReadAreRefused(t *testing.T) {
	bomb, err := deflated(append([]byte(`"`), make([]byte, MaxMessageBytes+1)...))
	if err != nil {
		t.Fatal(err)
	}
	tooLarge, err := json.Marshal(bomb)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{`"not base64!"`, `"AQID"`, `"/w=="`, `7`, `{}`, `"`, string(tooLarge)} {
		var e EncodedEntries
		if err := json.Unmarshal([]byte(text), &e); err == nil {
			t.Errorf("%.40s is read as %d entries", text, len(e.List()))
		}
	}
	var e EncodedEntries
	if err := e.UnmarshalJSON(tooLarge); fault.KindOf(err) != fault.KindBodyTooLarge {
		t.Errorf("entries of more than %d bytes: %v", MaxMessageBytes, err)
	}
}

// BenchmarkAnnounce encodes a large configuration for one more instance.
func BenchmarkAnnounce(b *testing.B) {
	q := &AnnounceRequest{Entries: NewEncodedEntries(configOf(1400))}
	for b.Loop() {
		if _, err := (Codec{}).AppendFrame(nil, q); err != nil {
			b.Fatal(err)
		}
	}
}

// read returns the announcement in a frame.
func read(t *testing.T, frame []byte) *AnnounceRequest {
	t.Helper()
	q := &AnnounceRequest{}
	if err := (Codec{}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), q); err != nil {
		t.Fatal(err)
	}
	return q
}
