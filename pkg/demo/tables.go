package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/jacinthramp/jacinthramp/pkg/table"
	"github.com/jacinthramp/jacinthramp/pkg/tablestore"
)

// lookupTTL is the time to live of a lookup response.
const lookupTTL = time.Second

// editedRoute is the route that the edit adds. An instance that serves requests
// for it has the edit in force.
const editedRoute = "inspection"

// initialTables returns the first version of the tables: a route for each
// service and a pool for each service and region.
func (f *federation) initialTables() *table.Tables {
	t := &table.Tables{Workspaces: workspaces()}
	for _, loc := range locations {
		if t.Region(loc.region) == nil {
			t.Regions = append(t.Regions, table.Region{Name: loc.region})
		}
	}
	for _, s := range services {
		t.Routes = append(t.Routes, route(s.name, s.name, t.Regions))
		for _, r := range t.Regions {
			t.Pools = append(t.Pools, f.pool(s.name, r.Name))
		}
	}
	t.Route("certdesk").Priority = table.PriorityHigh
	t.Route("archive").Priority = table.PriorityLow
	return t
}

// route returns a route to the pools of a service in all regions.
func route(name, service string, regions []table.Region) table.Route {
	r := table.Route{
		Name: name, PathPrefix: "/" + name,
		Timeout: table.Duration(5 * time.Second), LookupTTL: table.Duration(lookupTTL),
	}
	for _, region := range regions {
		r.Pools = append(r.Pools, table.PoolWeight{Pool: poolName(service, region.Name), Weight: 100})
	}
	return r
}

func poolName(service, region string) string { return fmt.Sprintf("%s-%s", service, region) }

// pool returns the pool of a service's targets in one region.
func (f *federation) pool(service, region string) table.Pool {
	p := table.Pool{Name: poolName(service, region), Region: region}
	for _, t := range f.targets {
		if t.service != service || t.region != region {
			continue
		}
		p.Targets = append(p.Targets, table.Target{
			Name: t.name, Address: f.targetGroup.Target(t.name).Address(), Zone: t.zone, Slots: t.slots,
		})
	}
	return p
}

// withEditedRoute returns the tables after the edit.
func withEditedRoute(t *table.Tables) *table.Tables {
	next := t.Clone()
	next.Version = 1
	next.Routes = append(next.Routes, route(editedRoute, "certdesk", next.Regions))
	return next
}

// accept stores t as the next version of the tables.
func (f *federation) accept(ctx context.Context, t *table.Tables, reason string) error {
	_, err := tablestore.Accept(ctx, f.store, f.store, tablestore.Edit{
		ID: uuid.NewString(), Author: "demo", Reason: reason, Tables: t,
	})
	return err
}
