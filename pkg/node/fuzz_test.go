package node

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/peer/caller"
	"github.com/jacinthramp/jacinthramp/pkg/peer/hop"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// FuzzLookupQuery sends arbitrary queries to the lookup endpoint. Each must get a
// response or the kind unknown-route.
func FuzzLookupQuery(f *testing.F) {
	f.Add("route=feedlog")
	f.Add("host=x%00&path=/feedlog/../a")
	f.Add("host=[::1]:80&path=")
	f.Add("%zz&;")
	inst := startInstance(f, "a-1", "osrednja-a")
	inst.cluster.tables.Store(oneTarget("127.0.0.1:1", "osrednja-a").WithDefaults())
	inst.applyUpdates()
	h := inst.callerHandler()
	f.Cleanup(func() {
		inst.listeners.Caller.Close()
		inst.listeners.Hop.Close()
		inst.listeners.Admin.Close()
		inst.closeClients()
	})
	f.Fuzz(func(t *testing.T, query string) {
		w := httptest.NewRecorder()
		r := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: wire.PathLookup, RawQuery: query}, Header: http.Header{}}
		h.ServeHTTP(w, r)
		if w.Code != http.StatusOK && w.Header().Get(wire.HeaderKind) != fault.KindUnknownRoute.String() {
			t.Errorf("status %d, header %v", w.Code, w.Header())
		}
	})
}

// FuzzFields parses arbitrary values of the reserved header fields. Errors must be
// of kind bad-request, and no request timeout may be negative.
func FuzzFields(f *testing.F) {
	f.Add("1000", "true", "member", "route", "1")
	f.Add("-1", "TRUE", "", "", "18446744073709551616")
	f.Fuzz(func(t *testing.T, deadline, mark, member, route, version string) {
		h := http.Header{}
		h.Set(wire.HeaderDeadlineMS, deadline)
		h.Set(wire.HeaderIdempotent, mark)
		h.Set(wire.HeaderMember, member)
		h.Set(wire.HeaderHopRoute, route)
		h.Set(wire.HeaderHopPool, route)
		h.Set(wire.HeaderHopVersion, version)
		native := wire.NativeDialect()
		fields, err := caller.ReadRequestFields(&http.Request{Header: h}, &native)
		if err == nil && fields.RequestTimeout < 0 {
			t.Errorf("negative request timeout %v", fields.RequestTimeout)
		}
		if err != nil && fault.KindOf(err) != fault.KindBadRequest {
			t.Errorf("err = %v", err)
		}
		if _, err := hop.ReadDecision(&http.Request{Header: h}); err != nil && fault.KindOf(err) != fault.KindBadRequest {
			t.Errorf("err = %v", err)
		}
	})
}
