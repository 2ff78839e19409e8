package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of interimResponses. A server sends interimCount interim responses, spread over its
// work, before each answer. The slow servers are those of the kind srv_slow: at most two in
// five, at most 12 times as slow, for at most 9 s at a time. Here others are slow each second.
const (
	interimServers = 12
	interimCount   = 14
	minWork        = 10 * time.Millisecond
	workSpread     = 5 * time.Millisecond
	slowFactor     = 8
	slowCount      = 2 * interimServers / 5
	// slowEvery: a slow server does one request in so many slowly.
	slowEvery      = 3
	slowFor        = time.Second
	interimRounds  = 105
	interimClients = 40
	clientPause    = 20 * time.Millisecond
)

// interimResponses: servers announce their answers with interim responses, and some turn slow.
// No process may end by itself.
func interimResponses(w *world) (broken bool, err error) {
	w.putConfig(3, "/get/ goes to alpha", configText(3, []string{"alpha"}, []route{{"r-get", "/get/", "idempotent", "alpha", 2}}))
	slow := make([]atomic.Bool, interimServers)
	servers := make([]*server, interimServers)
	for i := range servers {
		respond := func(s *server, rw http.ResponseWriter, r *http.Request, body []byte) {
			work := minWork + rand.N(workSpread)
			if slow[i].Load() && rand.IntN(slowEvery) == 0 {
				work *= slowFactor
			}
			for _, name := range []string{"style.css", "app.js", "map.js", "logo.svg", "font.woff2", "list.json"} {
				rw.Header().Add("Link", "</"+name+">; rel=preload")
			}
			for range interimCount {
				time.Sleep(work / interimCount)
				rw.WriteHeader(http.StatusEarlyHints)
			}
			plainResponse(s, rw, r, body)
		}
		if servers[i], err = w.startServer(fmt.Sprintf("i-%02d", i), "alpha", []string{"osr-a", "osr-b"}[i%2], 0, respond); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(2); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	var unanswered []string
	sent := 0
	for i := range interimClients {
		in := w.instances[i%len(w.instances)]
		clients.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			for n := 0; !stopped(); n++ {
				id := fmt.Sprintf("c%02d-%05d", i, n)
				status, by := get(client, in.front, id)
				w.logf("client: %s to %s: %d %s", id, in.id, status, by)
				mu.Lock()
				sent++
				if status == 0 {
					unanswered = append(unanswered, id)
				}
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	ends := 0
	for round := 0; round < interimRounds && ends == 0; round++ {
		for _, i := range rand.Perm(interimServers)[:slowCount] {
			slow[i].Store(w.trouble)
		}
		w.logf("servers turn slow: %v", w.trouble)
		for end := time.Now().Add(slowFor); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			ends += w.restartEnded()
		}
		for i := range slow {
			slow[i].Store(false)
		}
	}
	close(stop)
	clients.Wait()
	lost := 0
	for _, id := range unanswered {
		for _, s := range servers {
			if s.ran.has(id) {
				lost++
				break
			}
		}
	}
	w.logf("check: %d requests; processes ended by themselves %d times; %d requests without an answer, of which servers had begun %d (more than 3 break the rule)", sent, ends, len(unanswered), lost)
	return lost > 3, nil
}

// restartEnded starts the processes again that have ended by themselves and returns how many
// there were.
func (w *world) restartEnded() (n int) {
	for _, in := range w.instances {
		select {
		case <-in.exited:
			n++
			w.logf("instance %s ended by itself: %v", in.id, in.exitErr)
			time.Sleep(restartDelay)
			_ = w.startInstance(in)
		default:
		}
	}
	return n
}
