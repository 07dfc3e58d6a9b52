// Package placer decides which models the engines of a failure domain load, while
// this entry holds the lease of that domain: among the models that the plans
// allow, according to the demand that the entries see.
//
// # Usage
//
//	p := placer.New(placer.Config{Table: table, Keeper: k, Watcher: w, Name: id, Interval: 5 * time.Second})
//	go p.Run(ctx)
//	p.RecordRequest(model, version, tokens) // for each request
//
// Every entry runs a placer; the leases in the table service determine which
// entry decides for which failure domain. Demand is the mean over all entries, as
// far as gossip has spread it to this one.
package placer

import (
	"context"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"bamboohill/core/generator"
	"bamboohill/core/keeper"
	"bamboohill/core/scheduler"
	"bamboohill/core/storer"
	"bamboohill/core/watcher"
	"bamboohill/entry/internal/averager"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Settings of the placer.
const (
	leaseIntervals = 3               // duration of a lease, in intervals
	demandHalfLife = 5 * time.Minute // of recorded demand
	minDemand      = 100_000         // tokens of demand per entry below which the shares of models are not significant
)

// Config configures a Placer. Name must be unique to this process and start.
type Config struct {
	Table    storer.Table
	Keeper   *keeper.Keeper
	Watcher  *watcher.Watcher
	Log      *log.Logger
	Name     string
	Interval time.Duration // between two updates of a failure domain
	Demand   *averager.Averager
	// MayDecide reports whether this entry is one of the few that may hold the
	// lease of a failure domain; nil allows every domain.
	MayDecide func(domain string) bool
}

// Placer writes the desired states of model engines.
type Placer struct {
	config Config
	leases map[string]*scheduler.Lessee // by failure domain; used only by the goroutine of Run

	mu        sync.Mutex
	held      map[string]bool              // failure domains, true if this entry believes it holds the lease
	revisions map[string]map[string]uint64 // of the desired states, by failure domain and row key
}

// New returns a placer. It has no effect until Run is called.
func New(config Config) *Placer {
	return &Placer{config: config, leases: map[string]*scheduler.Lessee{}, held: map[string]bool{}, revisions: map[string]map[string]uint64{}}
}

// RecordRequest adds a request for a model, of the given number of tokens, to the
// demand.
func (p *Placer) RecordRequest(model, version string, tokens int64) {
	p.config.Demand.Record(averager.KindOf(model, version), tokens)
}

// Run updates the failure domains once an interval until the context ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(p.config.Interval)
	defer t.Stop()
	decay := math.Exp2(-float64(p.config.Interval) / float64(demandHalfLife))
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.config.Demand.Decay(decay)
		if !p.config.Keeper.Ready() {
			continue
		}
		for domain, servers := range p.serversByDomain() {
			if p.config.MayDecide != nil && !p.config.MayDecide(domain) {
				p.forgetDomain(domain)
				continue
			}
			if err := p.updateDomain(ctx, domain, servers); err != nil {
				p.config.Log.Warn().Str("event", "place").Str("domain", domain).Err(err).Msg("")
			}
		}
	}
}

// serversByDomain returns the open model engines in the view by failure domain.
func (p *Placer) serversByDomain() map[string][]watcher.Server {
	all := map[string][]watcher.Server{}
	for _, s := range p.config.Watcher.View().Servers {
		if s.GetKind() == wire.Kind_KIND_MODEL && s.GetState() == wire.State_STATE_OPEN && len(s.GetOffers()) > 0 {
			all[s.GetDomain()] = append(all[s.GetDomain()], s)
		}
	}
	return all
}

// updateDomain acquires or renews the lease of a failure domain and, while it
// holds it, writes at most one change of a desired state there. A change waits
// until the previous one is loaded.
func (p *Placer) updateDomain(ctx context.Context, domain string, servers []watcher.Server) error {
	lessee := p.leases[domain]
	if lessee == nil {
		lessee = scheduler.NewLessee(scheduler.LesseeConfig{
			Table: p.config.Table, Key: scheduler.LeaseKey(domain), Name: p.config.Name, Term: leaseIntervals * p.config.Interval,
		})
		p.leases[domain] = lessee
	}
	grant, held, err := lessee.Step(ctx)
	p.setLease(domain, held, lessee.Revisions())
	if err != nil || !held {
		return err
	}
	desired, err := scheduler.ReadAllDesired(ctx, p.config.Table, domain)
	if err != nil {
		return err
	}
	var fleet []scheduler.Server
	for _, s := range servers {
		server := scheduler.Server{ID: s.GetServer(), Models: loaded(s)}
		if row, found := desired[scheduler.DesiredKey(domain, s.GetServer())]; found {
			server.Models, server.Role = row.State.Models, row.State.Role
		}
		fleet = append(fleet, server)
	}
	change := scheduler.Plan(fleet, p.modelDemands(fleet), scheduler.Policy{})
	if change == nil {
		return nil
	}
	row := desired[scheduler.DesiredKey(domain, change.Server)]
	row.Key = scheduler.DesiredKey(domain, change.Server)
	row.State.Models, row.State.Role = change.Models, change.Role
	err = scheduler.Write(ctx, p.config.Table, grant, []scheduler.DesiredRow{row})
	p.config.Log.Info().Str("event", "placed").Str("domain", domain).Str("server", change.Server).
		Uint64("lease", grant.Number).Int("models", len(change.Models)).Str("role", change.Role).Err(err).Msg("")
	return err
}

// setLease records whether this entry holds the lease of a failure domain, and the
// revisions of the desired states there.
func (p *Placer) setLease(domain string, held bool, revisions map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[domain] = held
	p.revisions[domain] = revisions
}

// forgetDomain removes the records of a failure domain that this entry no longer
// decides for.
func (p *Placer) forgetDomain(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, domain)
	delete(p.revisions, domain)
}

// Revision returns the revision of the desired state of a backend server as this
// entry last read it, 0 if unknown.
func (p *Placer) Revision(domain, server string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.revisions[domain][scheduler.DesiredKey(domain, server)]
}

// LeasesHeld returns the number of failure domains whose lease this entry believes
// it holds.
func (p *Placer) LeasesHeld() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, held := range p.held {
		if held {
			n++
		}
	}
	return n
}

// loaded returns the models that a server reports as loaded.
func loaded(s watcher.Server) []generator.Model {
	var models []generator.Model
	for _, o := range s.GetOffers() {
		models = append(models, generator.Model{Name: o.GetModel(), Version: o.GetVersion(), Adapters: o.GetAdapters()})
	}
	return models
}

// modelDemands returns the models that the plans name, with their shares of the
// demand. A model without a version stands for every version that the servers
// have.
func (p *Placer) modelDemands(fleet []scheduler.Server) []scheduler.ModelDemand {
	var demands []scheduler.ModelDemand
	add := func(name, version string, adapters []string, roles []*wire.RoleShare) {
		i := slices.IndexFunc(demands, func(d scheduler.ModelDemand) bool { return d.Model.Name == name && d.Model.Version == version })
		if i < 0 {
			i = len(demands)
			demands = append(demands, scheduler.ModelDemand{Model: generator.Model{Name: name, Version: version}})
		}
		m := &demands[i].Model
		m.Adapters = append(m.Adapters, adapters...)
		slices.Sort(m.Adapters)
		m.Adapters = slices.Compact(m.Adapters)
		demands[i].Roles = mergeRoleShares(demands[i].Roles, roles)
	}
	for _, row := range p.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			adapters := slices.DeleteFunc(slices.Clone(o.GetAdapters()), func(a string) bool { return a == "*" })
			for _, version := range offeredVersions(fleet, o) {
				add(o.GetModel(), version, adapters, o.GetRoles())
			}
		}
	}
	p.setShares(demands)
	return demands
}

// mergeRoleShares merges the role shares of a plan into those of other plans: the
// largest share of each role counts.
func mergeRoleShares(all []scheduler.RoleShare, more []*wire.RoleShare) []scheduler.RoleShare {
	for _, r := range more {
		i := slices.IndexFunc(all, func(w scheduler.RoleShare) bool { return w.Role == r.GetRole() })
		if i < 0 {
			i = len(all)
			all = append(all, scheduler.RoleShare{Role: r.GetRole()})
		}
		all[i].Share = max(all[i].Share, r.GetShare())
	}
	return all
}

// offeredVersions returns the versions that an offer of a plan stands for.
func offeredVersions(fleet []scheduler.Server, o *wire.Offer) []string {
	if o.GetModel() == "*" || strings.TrimSpace(o.GetModel()) == "" {
		return nil
	}
	if o.GetVersion() != "" {
		return []string{o.GetVersion()}
	}
	var all []string
	for _, s := range fleet {
		for _, m := range s.Models {
			if m.Name == o.GetModel() && !slices.Contains(all, m.Version) {
				all = append(all, m.Version)
			}
		}
	}
	return all
}

// setShares sets each model's share of the total demand. Demand without a version
// is split equally among the versions of the model.
func (p *Placer) setShares(demands []scheduler.ModelDemand) {
	total := p.config.Demand.Total()
	if total < minDemand {
		return
	}
	versionCount := map[string]float64{}
	for _, d := range demands {
		versionCount[d.Model.Name]++
	}
	for i, d := range demands {
		versioned := p.config.Demand.Mean(averager.KindOf(d.Model.Name, d.Model.Version))
		unversioned := p.config.Demand.Mean(averager.KindOf(d.Model.Name, ""))
		demands[i].Share = (versioned + unversioned/versionCount[d.Model.Name]) / total
	}
}
