// Package placer decides, while this entry holds the lease of a failure
// domain, which models the engines there should have loaded: within what the
// plans allow, by the demand that the entries see.
//
// # Usage
//
//	p := placer.New(placer.Config{Table: table, Keeper: k, Watcher: w, Name: id, Every: 5 * time.Second})
//	go p.Run(ctx)
//	p.Note(model, version, tokens) // for each request
//
// Every entry runs one; the lease rows decide which of them acts where. Demand
// is the mean over all entries, as far as greetings have brought it here.
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

// Bounds of the placer.
const (
	termSteps = 3               // steps until a lease lapses
	halfLife  = 5 * time.Minute // of demand
	minimum   = 100_000         // tokens of demand an entry below which shares mean nothing
)

// Config describes a Placer. Name must be of one process and start.
type Config struct {
	Table   storer.Table
	Keeper  *keeper.Keeper
	Watcher *watcher.Watcher
	Log     *log.Logger
	Name    string
	Every   time.Duration // between two steps
	Demand  *averager.Averager
	// Among reports whether this entry is one of the few that may decide for a
	// failure domain; nil says so of all.
	Among func(domain string) bool
}

// Placer writes wanted states.
type Placer struct {
	config Config
	leases map[string]*scheduler.Lessee // by failure domain; Run's goroutine alone

	mu   sync.Mutex
	held map[string]bool              // failure domains whose lease this entry believes it holds
	told map[string]map[string]uint64 // revisions of wanted rows by failure domain and key
}

// New returns a placer that does nothing yet.
func New(config Config) *Placer {
	return &Placer{config: config, leases: map[string]*scheduler.Lessee{}, held: map[string]bool{}, told: map[string]map[string]uint64{}}
}

// Note counts one request for a model.
func (p *Placer) Note(model, version string, tokens int64) {
	p.config.Demand.Record(averager.KindOf(model, version), tokens)
}

// Run steps until the context ends.
func (p *Placer) Run(ctx context.Context) {
	t := time.NewTicker(p.config.Every)
	defer t.Stop()
	fading := math.Exp2(-float64(p.config.Every) / float64(halfLife))
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.config.Demand.Decay(fading)
		if !p.config.Keeper.Ready() {
			continue
		}
		for domain, servers := range p.domains() {
			if p.config.Among != nil && !p.config.Among(domain) {
				p.leave(domain)
				continue
			}
			if err := p.step(ctx, domain, servers); err != nil {
				p.config.Log.Warn().Str("event", "place").Str("domain", domain).Err(err).Msg("")
			}
		}
	}
}

// domains returns the model engines in view by failure domain.
func (p *Placer) domains() map[string][]watcher.Server {
	all := map[string][]watcher.Server{}
	for _, s := range p.config.Watcher.View().Servers {
		if s.GetKind() == wire.Kind_KIND_MODEL && s.GetState() == wire.State_STATE_OPEN && len(s.GetOffers()) > 0 {
			all[s.GetDomain()] = append(all[s.GetDomain()], s)
		}
	}
	return all
}

// step holds the lease of a failure domain and, if it does, writes at most one
// change there. A change waits until the last one is loaded.
func (p *Placer) step(ctx context.Context, domain string, servers []watcher.Server) error {
	l := p.leases[domain]
	if l == nil {
		l = scheduler.NewLessee(scheduler.LesseeConfig{
			Table: p.config.Table, Key: scheduler.LeaseKey(domain), Name: p.config.Name, Term: termSteps * p.config.Every,
		})
		p.leases[domain] = l
	}
	grant, held, err := l.Step(ctx)
	p.hold(domain, held, l.Revisions())
	if err != nil || !held {
		return err
	}
	wants, err := scheduler.ReadAllDesired(ctx, p.config.Table, domain)
	if err != nil {
		return err
	}
	var fleet []scheduler.Server
	for _, s := range servers {
		one := scheduler.Server{ID: s.GetServer(), Models: loaded(s)}
		if w, found := wants[scheduler.DesiredKey(domain, s.GetServer())]; found {
			one.Models, one.Role = w.State.Models, w.State.Role
		}
		fleet = append(fleet, one)
	}
	change := scheduler.Plan(fleet, p.needs(fleet), scheduler.Policy{})
	if change == nil {
		return nil
	}
	w := wants[scheduler.DesiredKey(domain, change.Server)]
	w.Key = scheduler.DesiredKey(domain, change.Server)
	w.State.Models, w.State.Role = change.Models, change.Role
	err = scheduler.Write(ctx, p.config.Table, grant, []scheduler.DesiredRow{w})
	p.config.Log.Info().Str("event", "placed").Str("domain", domain).Str("server", change.Server).
		Uint64("lease", grant.Number).Int("models", len(change.Models)).Str("role", change.Role).Err(err).Msg("")
	return err
}

func (p *Placer) hold(domain string, held bool, revisions map[string]uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[domain] = held
	p.told[domain] = revisions
}

// leave forgets what this entry knew of a failure domain that it does not
// decide for any more.
func (p *Placer) leave(domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, domain)
	delete(p.told, domain)
}

// Revision returns the revision of the wanted state of a backend server as this
// entry last saw it, 0 if it does not know.
func (p *Placer) Revision(domain, server string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told[domain][scheduler.DesiredKey(domain, server)]
}

// Held returns for how many failure domains this entry believes that it
// decides.
func (p *Placer) Held() int {
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

func loaded(s watcher.Server) []generator.Model {
	var models []generator.Model
	for _, o := range s.GetOffers() {
		models = append(models, generator.Model{Name: o.GetModel(), Version: o.GetVersion(), Adapters: o.GetAdapters()})
	}
	return models
}

// needs returns the models that plans name, with their shares of demand. A
// model without a version stands for every version that is there.
func (p *Placer) needs(fleet []scheduler.Server) []scheduler.ModelDemand {
	var needs []scheduler.ModelDemand
	add := func(name, version string, adapters []string, roles []*wire.RoleShare) {
		i := slices.IndexFunc(needs, func(n scheduler.ModelDemand) bool { return n.Model.Name == name && n.Model.Version == version })
		if i < 0 {
			i = len(needs)
			needs = append(needs, scheduler.ModelDemand{Model: generator.Model{Name: name, Version: version}})
		}
		m := &needs[i].Model
		m.Adapters = append(m.Adapters, adapters...)
		slices.Sort(m.Adapters)
		m.Adapters = slices.Compact(m.Adapters)
		needs[i].Roles = wishes(needs[i].Roles, roles)
	}
	for _, row := range p.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			adapters := slices.DeleteFunc(slices.Clone(o.GetAdapters()), func(a string) bool { return a == "*" })
			for _, version := range versions(fleet, o) {
				add(o.GetModel(), version, adapters, o.GetRoles())
			}
		}
	}
	p.share(needs)
	return needs
}

// wishes adds a plan's wishes for roles to those of other plans: the largest
// share of each role counts.
func wishes(all []scheduler.RoleShare, more []*wire.RoleShare) []scheduler.RoleShare {
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

// versions returns the versions that an offer of a plan stands for.
func versions(fleet []scheduler.Server, o *wire.Offer) []string {
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

// share fills in the shares of demand.
func (p *Placer) share(needs []scheduler.ModelDemand) {
	total := p.config.Demand.Total()
	if total < minimum {
		return
	}
	count := map[string]float64{}
	for _, n := range needs {
		count[n.Model.Name]++
	}
	for i, n := range needs {
		own := p.config.Demand.Mean(averager.KindOf(n.Model.Name, n.Model.Version))
		open := p.config.Demand.Mean(averager.KindOf(n.Model.Name, ""))
		needs[i].Share = (own + open/count[n.Model.Name]) / total
	}
}
