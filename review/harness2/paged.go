package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/jacinthramp/jacinthramp/platform/standin"
)

// Limits of the platform's store.
const (
	// storeAnswer is the time of an answer.
	storeAnswer = 4 * time.Millisecond
	// maxRows is the largest number of rows in one answer to rows-get.
	maxRows = 500
)

// pagedStore is the project's stand-in for the store with answers of at most maxRows rows.
type pagedStore struct{ store *standin.Store }

// ServeHTTP implements http.Handler.
func (p pagedStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	if r.URL.Path != "/api/rows-get" {
		p.store.ServeHTTP(rw, r)
		return
	}
	all := httptest.NewRecorder()
	p.store.ServeHTTP(all, r)
	var answer struct {
		Rows      []standin.Row
		Truncated bool
		Ver       uint64
		NowS      float64
	}
	if all.Code == http.StatusOK && json.NewDecoder(bytes.NewReader(all.Body.Bytes())).Decode(&answer) != nil {
		all.Code = http.StatusInternalServerError
	}
	for field, values := range all.Header() {
		rw.Header()[field] = values
	}
	if all.Code != http.StatusOK {
		rw.WriteHeader(all.Code)
		return
	}
	slices.SortFunc(answer.Rows, func(a, b standin.Row) int { return cmp.Compare(a.Key, b.Key) })
	from := r.URL.Query().Get("From")
	first, _ := slices.BinarySearchFunc(answer.Rows, from, func(row standin.Row, key string) int { return cmp.Compare(row.Key, key) })
	answer.Rows = answer.Rows[first:]
	if len(answer.Rows) > maxRows {
		answer.Rows, answer.Truncated = answer.Rows[:maxRows], true
	}
	_ = json.NewEncoder(rw).Encode(answer)
}
