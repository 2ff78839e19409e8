package instance

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/catalog"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// configEntries returns a catalog entry with a configuration of n routes.
func configEntries(n int) []catalog.Entry {
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

func TestEncodedEntriesRoundTrip(t *testing.T) {
	for _, list := range [][]catalog.Entry{nil, configEntries(1), configEntries(300)} {
		frame, err := Codec{}.AppendFrame(nil, &AnnounceRequest{Entries: NewEncodedEntries(list)})
		if err != nil {
			t.Fatal(err)
		}
		got := readAnnouncement(t, frame)
		if len(got.Entries.List()) != len(list) || len(list) > 0 && !reflect.DeepEqual(got.Entries.List(), list) {
			t.Errorf("%d entries are decoded as %+v", len(list), got.Entries.List())
		}
	}
	frame, err := Codec{}.AppendFrame(nil, &AnnounceRequest{})
	if err != nil || readAnnouncement(t, frame).Entries.List() != nil {
		t.Errorf("an announcement without entries was not decoded without entries: %v", err)
	}
}

// TestEntriesAreEncodedOnce guards against encoding entries again for each instance
// that they are sent to. It changes an entry between two messages: the second one
// contains the change only if the entries are encoded again.
func TestEntriesAreEncodedOnce(t *testing.T) {
	for _, routes := range []int{1, 1400} {
		list := configEntries(routes)
		req := &AnnounceRequest{Entries: NewEncodedEntries(list)}
		first := mustAppendFrame(t, req)
		list[0].Version++
		if second := mustAppendFrame(t, req); !bytes.Equal(first, second) {
			t.Errorf("%d routes: the entries are encoded again for the second message", routes)
		}
		if changed := mustAppendFrame(t, &AnnounceRequest{Entries: NewEncodedEntries(list)}); bytes.Equal(first, changed) {
			t.Errorf("%d routes: the messages of different entries are equal", routes)
		}
	}
}

func mustAppendFrame(t *testing.T, req *AnnounceRequest) []byte {
	t.Helper()
	frame, err := (Codec{}).AppendFrame(nil, req)
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

func TestMalformedEntriesAreRejected(t *testing.T) {
	bomb, err := compressPayload(append([]byte(`"`), make([]byte, MaxMessageBytes+1)...))
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
			t.Errorf("%.40s is decoded as %d entries, want an error", text, len(e.List()))
		}
	}
	var e EncodedEntries
	if err := e.UnmarshalJSON(tooLarge); fault.KindOf(err) != fault.KindBodyTooLarge {
		t.Errorf("entries of more than %d bytes: error %v, want KindBodyTooLarge", MaxMessageBytes, err)
	}
}

// BenchmarkAnnounce encodes an announcement whose entries are already encoded.
func BenchmarkAnnounce(b *testing.B) {
	req := &AnnounceRequest{Entries: NewEncodedEntries(configEntries(1400))}
	for b.Loop() {
		if _, err := (Codec{}).AppendFrame(nil, req); err != nil {
			b.Fatal(err)
		}
	}
}

// readAnnouncement decodes an AnnounceRequest from frame.
func readAnnouncement(t *testing.T, frame []byte) *AnnounceRequest {
	t.Helper()
	req := &AnnounceRequest{}
	if err := (Codec{}).ReadObject(bufio.NewReader(bytes.NewReader(frame)), req); err != nil {
		t.Fatal(err)
	}
	return req
}
