// Command harness shows the faults listed in review/REPORT.md. It starts the instances
// as separate processes, plays the platform's store, the upstreams and the clients, and
// checks one rule of the users' pages.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun marks a case that could not be carried out as planned.
var errNotRun = errors.New("the case could not run")

// scenario plays one case. It reports whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

var scenarios = map[string]scenario{
	"bodies":       bodyStealing,
	"late-refusal": lateRefusal,
	"prefix":       prefix,
	"status-line":  statusLine,
	"answer-order": answerOrder,
}

func main() {
	os.Exit(run())
}

// run plays the scenario that the arguments name: NAME FOLDER.
func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness NAME FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.add("cannot start: %v", err)
		return exitNotRun
	}
	defer w.close()
	w.closeOnAbort()
	broken, err := scenarios[os.Args[1]](w)
	switch {
	case err != nil:
		rec.add("result: not run: %v", err)
		return exitNotRun
	case broken:
		rec.add("result: rule broken")
		return exitBroken
	}
	rec.add("result: rule held, disruption %s", strconv.FormatBool(w.trouble))
	return exitHeld
}
