package process

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jacinthramp/jacinthramp/pkg/load"
	"github.com/jacinthramp/jacinthramp/pkg/standin/target"
	"github.com/jacinthramp/jacinthramp/pkg/wire"
)

// workload is one of the four kinds of traffic.
type workload struct {
	name  string
	slots int
	// kind is an entry of the load's mix.
	kind string
}

var workloads = []workload{
	{name: "feedlog", slots: 4, kind: "weight: 4, method: POST, once: true, body_bytes: 600, answer_bytes: 200"},
	{name: "certdesk", slots: 4, kind: "weight: 2, answer_bytes: 4000"},
	{name: "catalogue", slots: 6, kind: "weight: 2, method: POST, once: true, body_bytes: 3000, answer_bytes: 20000"},
	{name: "archive", slots: 5, kind: "weight: 1, answer_bytes: 200000"},
}

// member is an instance or a process of targets, with its settings file.
type member struct {
	name   string
	zone   string
	file   string
	addrs  []string
	proc   *process
	runLog string
}

// system is a whole system of processes: two availability zones with two
// instances and two processes of targets each.
type system struct {
	t        *testing.T
	dir      string
	platform string
	// links lead the instances of each zone to the platform.
	links     map[string]*relay
	instances []*member
	targets   []*member
}

// zones lists the zone of each instance and each process of targets.
var zones = []string{"osrednja-a", "osrednja-a", "osrednja-b", "osrednja-b"}

// atOnce bounds the systems that run at the same time.
var atOnce = make(chan struct{}, 3)

// newSystem starts a system and puts its tables in force. The test runs
// beside others.
func newSystem(t *testing.T) *system {
	t.Helper()
	t.Parallel()
	atOnce <- struct{}{}
	t.Cleanup(func() { <-atOnce })
	s := &system{t: t, dir: t.TempDir(), links: map[string]*relay{}}
	s.startPlatform()
	for _, zone := range zones {
		if s.links[zone] == nil {
			s.links[zone] = newRelay(t, s.platform)
		}
	}
	for i, zone := range zones {
		s.targets = append(s.targets, s.newTargets(i, zone))
		s.instances = append(s.instances, s.newInstance(i, zone))
	}
	for i := range zones {
		s.startTargets(i)
		s.startInstance(i)
	}
	s.applyTables()
	for _, in := range s.instances {
		eventually(t, in.name+" is ready", func() bool { return answers("http://" + in.addrs[3] + "/v1/ready") })
	}
	return s
}

// write writes a file and returns its path.
func (s *system) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) startPlatform() {
	s.t.Helper()
	s.platform = freeAddresses(s.t, 1)[0]
	file := s.write("platform.yaml", fmt.Sprintf("listen: %s\nfaults:\n  list_lag: 500ms\n  delay: 2ms\n", s.platform))
	start(s.t, s.dir, "platform", "jacinthramp", "standin", "platform", "--config", file)
	eventually(s.t, "the platform answers", func() bool { return answers("http://" + s.platform + "/v1/instances") })
}

func (s *system) newTargets(i int, zone string) *member {
	m := &member{name: fmt.Sprintf("targets-%d", i), zone: zone, addrs: freeAddresses(s.t, len(workloads)+1)}
	m.runLog = filepath.Join(s.dir, m.name+".runs")
	var b strings.Builder
	fmt.Fprintf(&b, "control: %s\nrun_log: %s\ntargets:\n", m.addrs[len(workloads)], m.runLog)
	for j, w := range workloads {
		fmt.Fprintf(&b, "  - {name: %s-%d, address: '%s', slots: %d, service_time: 100ms, service_time_p99: 300ms, restart_after: 1s}\n", w.name, i, m.addrs[j], w.slots)
	}
	m.file = s.write(m.name+".yaml", b.String())
	return m
}

func (s *system) newInstance(i int, zone string) *member {
	m := &member{name: fmt.Sprintf("instance-%d", i), zone: zone, addrs: freeAddresses(s.t, 4)}
	m.file = s.write(m.name+".yaml", fmt.Sprintf(`
instance: {id: %s, zone: %s, region: osrednja}
listen: {caller: '%s', hop: '%s', peer: '%s', admin: '%s'}
platform: {url: 'http://%s', poll_interval: 200ms}
probe: {interval: 200ms}
leave: {min_lookup_ttl: 500ms}
`, m.name, zone, m.addrs[0], m.addrs[1], m.addrs[2], m.addrs[3], s.links[zone].address()))
	return m
}

func (s *system) startTargets(i int) {
	s.t.Helper()
	m := s.targets[i]
	m.proc = start(s.t, s.dir, m.name, "jacinthramp", "standin", "target", "--config", m.file)
	control := "http://" + m.addrs[len(workloads)] + "/control/runs"
	eventually(s.t, m.name+" answers", func() bool { return answers(control) })
}

// startInstance starts an instance without waiting until it is ready.
func (s *system) startInstance(i int) {
	s.t.Helper()
	m := s.instances[i]
	m.proc = start(s.t, s.dir, m.name, "jacinthrampd", "--config", m.file)
}

// applyTables puts the routes and pools in force on every instance.
func (s *system) applyTables() {
	s.t.Helper()
	routes, pools := s.tableFiles("first", 0, "500ms")
	run(s.t, "apply", "--platform", s.platform, "--reason", "first tables", "--wait", longest.String(), "--routes", routes, "--pools", pools)
}

// tableFiles writes an edit of a version; ttl is the look-up answers' time to live.
func (s *system) tableFiles(name string, version int, ttl string) (routesFile, poolsFile string) {
	s.t.Helper()
	var routes, pools strings.Builder
	fmt.Fprintf(&routes, "version: %d\nroutes:\n", version)
	fmt.Fprintf(&pools, "version: %d\nregions: [{name: osrednja}]\npools:\n", version)
	for j, w := range workloads {
		fmt.Fprintf(&routes, "  - {name: %[1]s, path_prefix: /%[1]s, pools: [{pool: %[1]s, weight: 1}], timeout: 20s, queue_timeout: 2s, lookup_ttl: %[2]s}\n", w.name, ttl)
		fmt.Fprintf(&pools, "  - {name: %s, region: osrednja, shift_cap: 1, targets: [", w.name)
		for i, m := range s.targets {
			fmt.Fprintf(&pools, "{name: %s-%d, address: '%s', zone: %s, slots: %d}, ", w.name, i, m.addrs[j], m.zone, w.slots)
		}
		pools.WriteString("]}\n")
	}
	return s.write(name+"-routes.yaml", routes.String()), s.write(name+"-pools.yaml", pools.String())
}

// fault switches faults of the platform.
func (s *system) fault(body string) {
	s.t.Helper()
	send(s.t, http.MethodPut, "http://"+s.platform+"/control/faults", body, http.StatusOK)
}

// control posts to a target's controls.
func (s *system) control(i int, workload, action string) {
	s.t.Helper()
	url := fmt.Sprintf("http://%s/control/targets/%s-%d/%s", s.targets[i].addrs[len(workloads)], workload, i, action)
	send(s.t, http.MethodPost, url, "", http.StatusNoContent)
}

// normalRate is the usual load in requests a second.
const normalRate = 120

// load starts load of all four workloads for some seconds.
func (s *system) load(name string, seconds int) *process { return s.loadAt(name, seconds, normalRate) }

// loadAt starts load at a rate in requests a second.
func (s *system) loadAt(name string, seconds, rate int) *process {
	s.t.Helper()
	var entries, logs, mix []string
	for i := range zones {
		entries = append(entries, "'"+s.instances[i].addrs[0]+"'")
		logs = append(logs, s.targets[i].runLog)
	}
	for _, w := range workloads {
		mix = append(mix, fmt.Sprintf("  - {route: %s, path: /%s/x, deadline: 8s, %s}", w.name, w.name, w.kind))
	}
	file := s.write(name+".yaml", fmt.Sprintf("entries: [%s]\nrun_logs: [%s]\nrate: %d\nduration: %ds\nmix:\n%s\nmembers: [{name: a}, {name: b}]\n",
		strings.Join(entries, ", "), strings.Join(logs, ", "), rate, seconds, strings.Join(mix, "\n")))
	return start(s.t, s.dir, name, "jacinthramp", "load", "--config", file, "--output", "json")
}

// reportAfter checks that the load outlasted the faults, then reports.
func (s *system) reportAfter(p *process) load.Report {
	s.t.Helper()
	select {
	case <-p.done:
		s.t.Errorf("%s ended before the last fault", p.name)
	default:
	}
	return s.report(p)
}

// report waits for load to end and returns what it measured. A broken
// invariant fails the test.
func (s *system) report(p *process) load.Report {
	s.t.Helper()
	code := p.wait()
	var rep load.Report
	if err := json.Unmarshal(p.output.Bytes(), &rep); err != nil {
		s.t.Fatalf("report of %s, exit code %d: %v\n%s", p.name, code, err, p.output.String())
	}
	s.t.Logf("%s: %d requests, %d completed, %d not run, %d unknown, %d cut off, %d unanswered, %d submissions, refusals and failures %v",
		p.name, rep.Requests, rep.Completed, rep.NotRun, rep.Unknown, rep.CutOff, rep.TimedOut, rep.Submissions, rep.ErrorKinds)
	for _, broken := range rep.Violations() {
		s.t.Errorf("%s: %s: %d wrong answers, %d duplicate runs, %d false not run %v",
			p.name, broken, rep.WrongResponses, rep.DuplicateRuns, rep.FalseNotRun, rep.Mismatches)
	}
	if rep.DuplicateRuns < 0 {
		s.t.Errorf("%s did not count the runs", p.name)
	}
	return rep
}

// serves checks that the system answers everything again.
func (s *system) serves(name string) {
	s.t.Helper()
	rep := s.report(s.load(name, 2))
	for _, w := range workloads {
		if p := rep.Routes[w.name]; p.Completed == 0 || p.Completed != p.Requests {
			s.t.Errorf("%s: %s completed %d of %d", name, w.name, p.Completed, p.Requests)
		}
	}
	if rep.CutOff > 0 || rep.TimedOut > 0 || rep.Unknown > 0 {
		s.t.Errorf("%s: %+v", name, rep)
	}
}

// withinSlots checks that no target ever had more requests at once than
// slots, by the targets' own counts since they were started.
func (s *system) withinSlots() {
	s.t.Helper()
	for _, m := range s.targets {
		var all []target.Stats
		getJSON("http://"+m.addrs[len(workloads)]+target.PathTargets, &all)
		if len(all) != len(workloads) {
			s.t.Errorf("%s: counts of %d targets", m.name, len(all))
		}
		for j, st := range all {
			if st.PeakRequests > workloads[j].slots {
				s.t.Errorf("%s had %d requests at once in %d slots", st.Name, st.PeakRequests, workloads[j].slots)
			}
		}
	}
}

// version is the version of the tables that an instance reports, or 0.
func (s *system) version(in *member) uint64 {
	var status wire.Status
	getJSON("http://"+in.addrs[3]+wire.PathStatus, &status)
	return status.Version
}

// getJSON reads url into v; v stays as it is when that fails.
func getJSON(url string, v any) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(v)
}
