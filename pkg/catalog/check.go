package catalog

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthramp/jacinthramp/pkg/fault"
	"github.com/jacinthramp/jacinthramp/pkg/table"
)

// The largest values that an entry may state. An entry beyond them can be read and makes no
// sense: something other than an operator or a target has written it.
const (
	// MaxNameBytes bounds names and keys.
	MaxNameBytes = 200
	// MaxCold bounds how long a target is cold.
	MaxCold = 24 * time.Hour
	// MaxStartMillis is the beginning of the year 2100.
	MaxStartMillis = 4_102_444_800_000
	// MaxSequence is the largest whole number up to which JSON numbers are exact.
	MaxSequence = 1 << 53
	// MaxRemovalDelay bounds how much longer a removed target is used.
	MaxRemovalDelay = time.Minute
	// maxShownBytes bounds a value in an error.
	maxShownBytes = 64
)

// Check returns an error of kind fault.KindInvalidTable if e makes no sense.
func (e *Entry) Check() error {
	contents := 0
	for _, has := range []bool{e.Config != nil, e.EvacuatedZone != "", e.Target != nil} {
		if has {
			contents++
		}
	}
	ofOtherTopic := e.Topic == Operators && e.Target != nil || e.Topic == Targets && (e.Config != nil || e.EvacuatedZone != "")
	switch {
	case !e.Topic.valid() || ofOtherTopic:
		return invalid("an entry of the topic %d has the content of another one", int(e.Topic))
	case contents > 1 || e.Removed && contents > 0:
		return invalid("an entry has %d contents, removed %t", contents, e.Removed)
	case e.RemovalDelay < 0 || e.RemovalDelay > MaxRemovalDelay:
		return invalid("a target is used for %v after its removal, 0 to %v is accepted", e.RemovalDelay, MaxRemovalDelay)
	case e.Config != nil:
		return e.Config.Check()
	case e.Target == nil:
		return nil
	case e.Target.ID != e.Key:
		return invalid("the entry of target %.*q names target %.*q", maxShownBytes, e.Key, maxShownBytes, e.Target.ID)
	}
	return e.Target.Check()
}

// Refused counts the entries whose content could not be read or makes no sense.
type Refused struct {
	Count int
	// Keys are those of the first ones.
	Keys []string
}

// maxRefusedKeys bounds Refused.Keys.
const maxRefusedKeys = 8

func (r *Refused) add(key string) {
	r.Count++
	if len(r.Keys) < maxRefusedKeys {
		r.Keys = append(r.Keys, key[:min(len(key), MaxNameBytes)])
	}
}

// TakeRefused returns the entries that were refused since the last call, and whether there
// were any.
func (c *Catalog) TakeRefused() (r Refused, ok bool) {
	r, c.refused = c.refused, Refused{}
	return r, r.Count > 0
}

// checked returns e, which takes the place of old, or an unreadable entry in place of one that
// Check refuses or that lacks the start of a target which has stated it before. old is nil
// without one.
func checked(e *Entry, old *storedEntry) *Entry {
	namesNone := e.Topic == Targets && !e.Removed && e.Target == nil
	if !e.Unreadable && !namesNone && !e.Target.lacksStart(old) && e.Check() == nil {
		return e
	}
	return &Entry{Topic: e.Topic, Key: e.Key, Version: e.Version, Age: e.Age, Unreadable: true}
}

// lacksStart reports whether t states no start although the target of old has stated one: t
// would seem to be of another incarnation.
func (t *Target) lacksStart(old *storedEntry) bool {
	return t != nil && t.StartMillis == 0 && old != nil && old.lastTarget != nil && old.lastTarget.StartMillis != 0
}

// valid reports whether t is one of the topics.
func (t Topic) valid() bool { return t >= 0 && t < TopicCount }

// invalid returns an error of kind fault.KindInvalidTable.
func invalid(format string, args ...any) error {
	return fault.New(fault.KindInvalidTable, format, args...)
}

// Check returns an error of kind fault.KindInvalidTable if a field of t makes no sense.
func (t *Target) Check() error {
	switch {
	case !validName(t.ID) || !validName(t.Service) || !validName(t.Zone) || !validName(t.Region):
		return invalid("a name is empty or longer than %d bytes", MaxNameBytes)
	case t.Slots < 1 || t.Slots > table.MaxSlots:
		return invalid("%d slots, 1 to %d are accepted", t.Slots, table.MaxSlots)
	case t.ColdRemaining < 0 || t.ColdRemaining > MaxCold:
		return invalid("cold for %v, 0 to %v is accepted", t.ColdRemaining, MaxCold)
	case t.StartMillis < 0 || t.StartMillis > MaxStartMillis:
		return invalid("started at %d ms, 0 to %d is accepted", t.StartMillis, int64(MaxStartMillis))
	case t.Sequence < 0 || t.Sequence > MaxSequence:
		return invalid("write number %d, 0 to %d is accepted", t.Sequence, int64(MaxSequence))
	}
	_, err := table.ParseAddress(t.Address)
	return err
}

// validName reports whether name has a length that names have.
func validName(name string) bool { return name != "" && len(name) <= MaxNameBytes }

// Check returns an error of kind fault.KindInvalidTable if a field of c makes no sense. A
// zero stands for the default.
func (c *Config) Check() error {
	for i := range c.Services {
		if err := c.Services[i].check(); err != nil {
			return err
		}
	}
	for i := range c.Routes {
		if err := checkRoute(&c.Routes[i]); err != nil {
			return err
		}
	}
	return checkWorkspaces(c.Workspaces)
}

// checkWorkspaces returns an error of kind fault.KindInvalidTable for the first field of the
// workspaces that makes no sense.
func checkWorkspaces(workspaces []table.Workspace) (err error) {
	report := func(i int, field, format string, args ...any) {
		if err == nil {
			err = invalid("workspace %.*q: %s: %s", maxShownBytes, workspaces[i].Name, field, fmt.Sprintf(format, args...))
		}
	}
	seen := make(map[string]bool, len(workspaces))
	for i := range workspaces {
		name := workspaces[i].Name
		switch {
		case !validName(name) || !httpguts.ValidHeaderFieldValue(name) || strings.TrimSpace(name) != name:
			report(i, "name", "a header field with 1 to %d bytes must be able to carry it", MaxNameBytes)
		case seen[name]:
			report(i, "name", "it is not unique")
		}
		seen[name] = true
	}
	table.CheckWorkspaces(workspaces, report)
	return err
}

// check returns an error of kind fault.KindInvalidTable if a field of s makes no sense.
func (s *Service) check() error {
	switch {
	case s.Connections < 0 || s.Connections > table.MaxConnections:
		return invalid("service %.*q: %d connections, 0 to %d are accepted", maxShownBytes, s.Name, s.Connections, table.MaxConnections)
	case !(s.ColdRate >= 0 && s.ColdRate <= table.MaxRate):
		return invalid("service %.*q: cold rate %v, 0 to %v is accepted", maxShownBytes, s.Name, s.ColdRate, float64(table.MaxRate))
	case s.ColdDuration < 0 || s.ColdDuration > MaxCold:
		return invalid("service %.*q: cold for %v, 0 to %v is accepted", maxShownBytes, s.Name, s.ColdDuration, MaxCold)
	}
	return nil
}

// checkRoute returns an error of kind fault.KindInvalidTable if a field of r makes no sense.
func checkRoute(r *table.Route) error {
	for _, d := range []table.Duration{r.Timeout, r.QueueTimeout, r.TargetLatency, r.LookupTTL} {
		if d < 0 || d > table.MaxTimeout {
			return invalid("route %.*q: a time of %v, 0 to %v is accepted", maxShownBytes, r.Name, d, table.MaxTimeout)
		}
	}
	if r.MaxAttempts < 0 || r.MaxBodyBytes < 0 {
		return invalid("route %.*q: %d attempts and %d bytes, 0 and more are accepted", maxShownBytes, r.Name, r.MaxAttempts, r.MaxBodyBytes)
	}
	for _, w := range r.Pools {
		if w.Weight < 0 || w.Weight > table.MaxWeight {
			return invalid("route %.*q: weight %d, 0 to %d is accepted", maxShownBytes, r.Name, w.Weight, table.MaxWeight)
		}
	}
	return nil
}
