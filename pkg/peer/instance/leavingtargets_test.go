package instance

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/decision/departure"
	"github.com/jacinthramp/jacinthramp/pkg/fault"
)

// TestHeartbeatsWithInvalidLeavingTargetsAreRejected sends heartbeats with valid,
// invalid and missing lists of leaving targets.
func TestHeartbeatsWithInvalidLeavingTargetsAreRejected(t *testing.T) {
	entry := `{"target":"t","incarnation":"1","entry":3,"age_ms":5}`
	for name, c := range map[string]struct {
		field    string
		rejected bool
	}{
		"no list":          {"", false},
		"one":              {`,"leaving":[` + entry + `]`, false},
		"an unknown field": {`,"leaving":[],"a_later_field":[1]`, false},
		"too many":         {`,"leaving":[` + entry + `,` + entry + `,` + entry + `,` + entry + `,` + entry + `]`, true},
		"no incarnation":   {`,"leaving":[{"target":"t"}]`, true},
		"negative age":     {`,"leaving":[{"target":"t","incarnation":"1","age_ms":-5}]`, true},
		"not a list":       {`,"leaving":"t"`, true},
		"not a record":     {`,"leaving":["t"]`, true},
	} {
		params := `{"from":{"id":"a","incarnation":"1"},"beat":{"id":"a","incarnation":"1"}` + c.field + `}`
		_, err := Dispatch(t.Context(), echoHandler{}, MethodHeartbeat, []byte(params))
		if (err != nil) != c.rejected || c.rejected && fault.KindOf(err) != fault.KindBadRequest {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestLeavingTargetsAreOptionalInMessages checks that an empty list is not encoded, and
// that a list is equal after encoding and decoding.
func TestLeavingTargetsAreOptionalInMessages(t *testing.T) {
	var fields map[string]json.RawMessage
	data, err := json.Marshal(HeartbeatRequest{})
	if err != nil || json.Unmarshal(data, &fields) != nil {
		t.Fatal(err)
	}
	if _, ok := fields["leaving"]; ok {
		t.Errorf("heartbeat without leaving targets: %s", data)
	}
	want := []departure.Record{{Target: "t", Incarnation: "1", Entry: 3, AgeMS: 5}}
	var got HeartbeatReply
	data, err = json.Marshal(HeartbeatReply{LeavingTargets: want})
	if err != nil || json.Unmarshal(data, &got) != nil || !slices.Equal(got.LeavingTargets, want) {
		t.Errorf("list %v, %v; want %v", got.LeavingTargets, err, want)
	}
}
