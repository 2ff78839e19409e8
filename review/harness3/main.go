// Command harness3 plays the scripts of the third review: it starts the system's own program as
// separate processes on loopback, with stand-ins for clients, upstreams and the platform's store,
// and checks one rule by what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// cannotRun ends a script that can't be played.
func cannotRun(format string, args ...any) {
	panic(cannot(fmt.Sprintf(format, args...)))
}

type cannot string

// scenarios are the scripts by name. Each returns whether the rule held.
var scenarios = map[string]func(w *world, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 SCENARIO RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a scenario and returns the exit code.
func play(name, file string) (code int) {
	f, err := os.Create(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer f.Close()
	log := &record{file: f, started: time.Now()}
	w := (*world)(nil)
	defer func() {
		v := recover()
		if w != nil {
			w.close()
		}
		if why, ok := v.(cannot); ok {
			log.printf("cannot run: %s", string(why))
			code = exitCannotRun
		} else if v != nil {
			panic(v)
		}
	}()
	w = newWorld(log)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitCannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("scenario %s, trouble %t", name, trouble)
	if scenarios[name](w, trouble) {
		log.printf("the rule held")
		return exitHeld
	}
	log.printf("the rule was broken")
	return exitBroken
}
