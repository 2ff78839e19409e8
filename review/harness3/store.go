package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is one row of the platform's store.
type storeRow struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   string `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver,omitempty"`
	Removed bool   `json:"Removed,omitempty"`
}

// store is a stand-in for the platform's metadata store: rows-get, rows-feed and rows-tx.
type store struct {
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[string]storeRow
	changed chan struct{}
	// era is sent in all answers; zero in scenarios without a drill. away is set while the store
	// serves no call.
	era  int
	away bool
}

func newStore() *store {
	return &store{started: time.Now(), rows: make(map[string]storeRow), changed: make(chan struct{})}
}

// put writes a row with the JSON of value; nil removes the row.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	r := storeRow{Table: table, Key: key, Ver: s.ver, Removed: value == nil}
	if value != nil {
		b, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = base64.StdEncoding.EncodeToString(b)
	}
	s.rows[table+"/"+key] = r
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table with a version above ver: in the order of their keys
// without removed ones, or in the order of their versions with them.
func (s *store) after(table string, ver uint64, removed bool) []storeRow {
	out := []storeRow{}
	for _, r := range s.rows {
		if r.Table == table && r.Ver > ver && (removed || !r.Removed) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b storeRow) int {
		if removed {
			return int(a.Ver) - int(b.Ver)
		}
		return strings.Compare(a.Key, b.Key)
	})
	return out
}

// answer writes rows, the newest version and the store's clock. The caller holds mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	s.setEra(w)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"Rows": rows, "Truncated": false, "Ver": s.ver, "NowS": time.Since(s.started).Seconds()})
}

// ServeHTTP serves the calls of the store.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.answer(w, http.StatusOK, s.after(q.Get("Table"), 0, false))
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// feed waits for changes of a table. The caller holds mu, which it releases while it waits.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	ver, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	if ver > s.ver {
		s.refuse(w, http.StatusGone)
		return
	}
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		if s.away {
			s.refuse(w, http.StatusServiceUnavailable)
			return
		}
		rows, changed, expired := s.after(q.Get("Table"), ver, true), s.changed, false
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
		if expired {
			s.answer(w, http.StatusOK, s.after(q.Get("Table"), ver, true))
			return
		}
	}
}

// commit applies a transaction. The caller holds mu.
func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expect, Puts, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var now []storeRow
	held := true
	for _, e := range tx.Expect {
		got := s.rows[e.Table+"/"+e.Key]
		if got.Removed {
			got.Ver = 0
		}
		held = held && got.Ver == e.Ver
		now = append(now, got)
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, now)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		s.rows[p.Table+"/"+p.Key] = p
	}
	for _, p := range tx.Remove {
		s.rows[p.Table+"/"+p.Key] = storeRow{Table: p.Table, Key: p.Key, Ver: s.ver, Removed: true}
	}
	s.notify()
	s.answer(w, http.StatusOK, []storeRow{})
}

// setEra sets the header that rises with each drill.
func (s *store) setEra(w http.ResponseWriter) {
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
}

// refuse answers with a status alone.
func (s *store) refuse(w http.ResponseWriter, status int) {
	s.setEra(w)
	w.WriteHeader(status)
}

// storeCopy is a copy of the store.
type storeCopy struct {
	ver  uint64
	rows map[string]storeRow
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.ver, maps.Clone(s.rows)}
}

// drill has the store be away for a moment and come back from c.
func (s *store) drill(away time.Duration, c storeCopy) {
	s.mu.Lock()
	s.away = true
	s.notify()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver, s.rows, s.away = c.ver, c.rows, false
	s.era++
	s.notify()
}
