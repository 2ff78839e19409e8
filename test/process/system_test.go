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

// workload is one of the four kinds of traffic, each with its route and pool.
type workload struct {
	name  string
	slots int
	// mixEntry holds fields of the workload's entry in the load generator's mix.
	mixEntry string
}

var workloads = []workload{
	{name: "feedlog", slots: 4, mixEntry: "weight: 4, method: POST, once: true, body_bytes: 600, answer_bytes: 200"},
	{name: "certdesk", slots: 4, mixEntry: "weight: 2, answer_bytes: 4000"},
	{name: "catalogue", slots: 6, mixEntry: "weight: 2, method: POST, once: true, body_bytes: 3000, answer_bytes: 20000"},
	{name: "archive", slots: 5, mixEntry: "weight: 1, answer_bytes: 200000"},
}

// component is an instance, or a process that runs one target per workload.
// addrs holds its listening addresses: for an instance caller, hop, peer and
// admin, for targets one per workload and the control address.
type component struct {
	name       string
	zone       string
	configFile string
	addrs      []string
	proc       *process
	runLog     string
}

// system is a complete deployment of separate processes: two availability zones,
// each with two instances and two processes of targets.
type system struct {
	t        *testing.T
	dir      string
	platform string
	// links connect the instances of each zone to the platform.
	links     map[string]*link
	instances []*component
	targets   []*component
}

// zones lists the zone of each instance and each process of targets.
var zones = []string{"osrednja-a", "osrednja-a", "osrednja-b", "osrednja-b"}

// systemSlots limits the number of systems that run at the same time.
var systemSlots = make(chan struct{}, 3)

// newSystem starts a system and applies its tables. It marks the test as
// parallel.
func newSystem(t *testing.T) *system {
	t.Helper()
	t.Parallel()
	systemSlots <- struct{}{}
	t.Cleanup(func() { <-systemSlots })
	s := &system{t: t, dir: t.TempDir(), links: map[string]*link{}}
	s.startPlatform()
	for _, zone := range zones {
		if s.links[zone] == nil {
			s.links[zone] = newLink(t, s.platform)
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
	for _, instance := range s.instances {
		eventually(t, instance.name+" is ready", func() bool { return respondsOK("http://" + instance.addrs[3] + "/v1/ready") })
	}
	return s
}

// writeFile writes a file to the system's directory and returns its path.
func (s *system) writeFile(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

func (s *system) startPlatform() {
	s.t.Helper()
	s.platform = portBlock.Addresses(s.t, 1)[0]
	file := s.writeFile("platform.yaml", fmt.Sprintf("listen: %s\nfaults:\n  list_lag: 500ms\n  delay: 2ms\n", s.platform))
	startProcess(s.t, s.dir, "platform", "jacinthramp", "standin", "platform", "--config", file)
	eventually(s.t, "the platform responds", func() bool { return respondsOK("http://" + s.platform + "/v1/instances") })
}

func (s *system) newTargets(i int, zone string) *component {
	c := &component{name: fmt.Sprintf("targets-%d", i), zone: zone, addrs: portBlock.Addresses(s.t, len(workloads)+1)}
	c.runLog = filepath.Join(s.dir, c.name+".runs")
	var b strings.Builder
	fmt.Fprintf(&b, "control: %s\nrun_log: %s\ntargets:\n", c.addrs[len(workloads)], c.runLog)
	for j, w := range workloads {
		fmt.Fprintf(&b, "  - {name: %s-%d, address: '%s', slots: %d, service_time: 100ms, service_time_p99: 300ms, restart_after: 1s}\n", w.name, i, c.addrs[j], w.slots)
	}
	c.configFile = s.writeFile(c.name+".yaml", b.String())
	return c
}

func (s *system) newInstance(i int, zone string) *component {
	c := &component{name: fmt.Sprintf("instance-%d", i), zone: zone, addrs: portBlock.Addresses(s.t, 4)}
	c.configFile = s.writeFile(c.name+".yaml", fmt.Sprintf(`
instance: {id: %s, zone: %s, region: osrednja}
listen: {caller: '%s', hop: '%s', peer: '%s', admin: '%s'}
platform: {url: 'http://%s', poll_interval: 200ms}
probe: {interval: 200ms}
leave: {min_lookup_ttl: 500ms}
`, c.name, zone, c.addrs[0], c.addrs[1], c.addrs[2], c.addrs[3], s.links[zone].address()))
	return c
}

func (s *system) startTargets(i int) {
	s.t.Helper()
	c := s.targets[i]
	c.proc = startProcess(s.t, s.dir, c.name, "jacinthramp", "standin", "target", "--config", c.configFile)
	control := "http://" + c.addrs[len(workloads)] + "/control/runs"
	eventually(s.t, c.name+" responds", func() bool { return respondsOK(control) })
}

// startInstance starts an instance without waiting until it is ready.
func (s *system) startInstance(i int) {
	s.t.Helper()
	c := s.instances[i]
	c.proc = startProcess(s.t, s.dir, c.name, "jacinthrampd", "--config", c.configFile)
}

// applyTables applies the first routes and pools and waits until they are in force
// on every instance.
func (s *system) applyTables() {
	s.t.Helper()
	routes, pools := s.tableFiles("first", 0, "500ms")
	mustRunCommand(s.t, "apply", "--platform", s.platform, "--reason", "first tables", "--wait", maxWait.String(), "--routes", routes, "--pools", pools)
}

// tableFiles writes the files of an edit that is based on a version. ttl is the
// time to live of lookup responses.
func (s *system) tableFiles(name string, version int, ttl string) (routesFile, poolsFile string) {
	s.t.Helper()
	var routes, pools strings.Builder
	fmt.Fprintf(&routes, "version: %d\nroutes:\n", version)
	fmt.Fprintf(&pools, "version: %d\nregions: [{name: osrednja}]\npools:\n", version)
	for j, w := range workloads {
		fmt.Fprintf(&routes, "  - {name: %[1]s, path_prefix: /%[1]s, pools: [{pool: %[1]s, weight: 1}], timeout: 20s, queue_timeout: 2s, lookup_ttl: %[2]s}\n", w.name, ttl)
		fmt.Fprintf(&pools, "  - {name: %s, region: osrednja, shift_cap: 1, targets: [", w.name)
		for i, c := range s.targets {
			fmt.Fprintf(&pools, "{name: %s-%d, address: '%s', zone: %s, slots: %d}, ", w.name, i, c.addrs[j], c.zone, w.slots)
		}
		pools.WriteString("]}\n")
	}
	return s.writeFile(name+"-routes.yaml", routes.String()), s.writeFile(name+"-pools.yaml", pools.String())
}

// setFaults sets the faults that the platform stand-in injects.
func (s *system) setFaults(body string) {
	s.t.Helper()
	send(s.t, http.MethodPut, "http://"+s.platform+"/control/faults", body, http.StatusOK)
}

// controlTarget sends an action, such as crash, to a target's control address.
func (s *system) controlTarget(i int, workload, action string) {
	s.t.Helper()
	url := fmt.Sprintf("http://%s/control/targets/%s-%d/%s", s.targets[i].addrs[len(workloads)], workload, i, action)
	send(s.t, http.MethodPost, url, "", http.StatusNoContent)
}

// normalRate is the usual load in requests per second.
const normalRate = 120

// startLoad starts a load generator for all four workloads.
func (s *system) startLoad(name string, seconds int) *process {
	return s.startLoadAt(name, seconds, normalRate)
}

// startLoadAt starts a load generator at a rate in requests per second.
func (s *system) startLoadAt(name string, seconds, rate int) *process {
	s.t.Helper()
	var entries, logs, mix []string
	for i := range zones {
		entries = append(entries, "'"+s.instances[i].addrs[0]+"'")
		logs = append(logs, s.targets[i].runLog)
	}
	for _, w := range workloads {
		mix = append(mix, fmt.Sprintf("  - {route: %s, path: /%s/x, deadline: 8s, %s}", w.name, w.name, w.mixEntry))
	}
	file := s.writeFile(name+".yaml", fmt.Sprintf("entries: [%s]\nrun_logs: [%s]\nrate: %d\nduration: %ds\nmix:\n%s\nmembers: [{name: a}, {name: b}]\n",
		strings.Join(entries, ", "), strings.Join(logs, ", "), rate, seconds, strings.Join(mix, "\n")))
	return startProcess(s.t, s.dir, name, "jacinthramp", "load", "--config", file, "--output", "json")
}

// reportAfter checks that the load generator is still running, so that it was
// active during all faults, and returns its report.
func (s *system) reportAfter(p *process) load.Report {
	s.t.Helper()
	select {
	case <-p.done:
		s.t.Errorf("load generator %s exited before the last fault ended", p.name)
	default:
	}
	return s.report(p)
}

// report waits until the load generator exits and returns its report. A violated
// invariant fails the test.
func (s *system) report(p *process) load.Report {
	s.t.Helper()
	code := p.wait()
	var rep load.Report
	if err := json.Unmarshal(p.output.Bytes(), &rep); err != nil {
		s.t.Fatalf("parse the report of %s, exit code %d: %v\n%s", p.name, code, err, p.output.String())
	}
	s.t.Logf("%s: %d requests, %d completed, %d not run, %d unknown, %d aborted, %d timed out, %d submissions, error kinds %v",
		p.name, rep.Requests, rep.Completed, rep.NotRun, rep.Unknown, rep.AbortedSubmissions, rep.TimedOut, rep.Submissions, rep.ErrorKinds)
	for _, violation := range rep.Violations() {
		s.t.Errorf("%s: %s: %d wrong responses, %d duplicate runs, %d falsely reported as not run; %v",
			p.name, violation, rep.WrongResponses, rep.DuplicateRuns, rep.FalseNotRun, rep.Mismatches)
	}
	if rep.DuplicateRuns < 0 {
		s.t.Errorf("the report of %s has no count of duplicate runs", p.name)
	}
	return rep
}

// checkServes runs a short load and checks that every request completes.
func (s *system) checkServes(name string) {
	s.t.Helper()
	rep := s.report(s.startLoad(name, 2))
	for _, w := range workloads {
		if stats := rep.Routes[w.name]; stats.Completed == 0 || stats.Completed != stats.Requests {
			s.t.Errorf("%s: route %s completed %d of %d requests", name, w.name, stats.Completed, stats.Requests)
		}
	}
	if rep.AbortedSubmissions > 0 || rep.TimedOut > 0 || rep.Unknown > 0 {
		s.t.Errorf("%s: requests aborted, timed out or with unknown outcome: %+v", name, rep)
	}
}

// checkSlotLimits checks that no target ever had more concurrent requests than
// slots, according to the counts that the targets keep from their start.
func (s *system) checkSlotLimits() {
	s.t.Helper()
	for _, c := range s.targets {
		var all []target.Stats
		getJSON("http://"+c.addrs[len(workloads)]+target.PathTargets, &all)
		if len(all) != len(workloads) {
			s.t.Errorf("%s reports the counts of %d targets", c.name, len(all))
		}
		for j, st := range all {
			if st.PeakRequests > workloads[j].slots {
				s.t.Errorf("%s had %d concurrent requests in %d slots", st.Name, st.PeakRequests, workloads[j].slots)
			}
		}
	}
}

// tablesVersion returns the version of the tables that an instance reports, or 0
// if it does not respond.
func (s *system) tablesVersion(instance *component) uint64 {
	var status wire.Status
	getJSON("http://"+instance.addrs[3]+wire.PathStatus, &status)
	return status.Version
}

// getJSON decodes the JSON document at url into v. v is unchanged if the request
// fails.
func getJSON(url string, v any) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(v)
}
