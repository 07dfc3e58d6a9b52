// Package settings defines the settings file of the program standin.
//
// # Usage
//
//	var s settings.Settings
//	err := checker.Load(path, &s)
package settings

import (
	"fmt"

	"bamboohill/core/checker"
	"bamboohill/core/generator"
	"bamboohill/core/storer"
)

// Settings lists the systems that one process stands in for.
type Settings struct {
	Level    string    `toml:"level"` // log level
	Table    Table     `toml:"table"`
	Objects  Endpoint  `toml:"objects"`
	List     List      `toml:"list"`
	Weights  Weights   `toml:"weights"`
	Runs     Endpoint  `toml:"runs"` // counter of the plain services' runs
	Engines  []Engine  `toml:"engine"`
	Services []Service `toml:"service"`
	Balancer Balancer  `toml:"balancer"`
}

// Balancer is the platform's load balancer in front of the entries.
type Balancer struct {
	Address  string   `toml:"address"` // for callers; not started if empty
	Control  string   `toml:"control"` // for its faults and counters
	Targets  []string `toml:"targets"` // addresses of the entries for callers
	Interval int      `toml:"every"`   // milliseconds between readiness probes of a target
}

// Endpoint is a system whose only setting is its address. It is not started if
// the address is empty.
type Endpoint struct {
	Address string `toml:"address"`
}

// Table is the table service.
type Table struct {
	Address string `toml:"address"`
	Journal string `toml:"journal"` // file that persists the rows; rows are in memory only if empty
}

// List is the platform's list of VMs.
type List struct {
	Address string `toml:"address"`
	Lag     int    `toml:"lag"` // milliseconds until readers see a change
	VMs     []VM   `toml:"vm"`
}

// VM is one VM that is on the list at the start.
type VM struct {
	Name    string `toml:"name"`
	Domain  string `toml:"domain"`
	Address string `toml:"address"`
	Role    string `toml:"role"`
}

// Weights is the weight store.
type Weights struct {
	Address string  `toml:"address"`
	Rate    float64 `toml:"rate"` // loads per second
	Burst   int     `toml:"burst"`
}

// Engine is a model engine. Zero values select the defaults of package
// modelserver.
type Engine struct {
	Address      string   `toml:"address"`
	Memory       int64    `toml:"memory"`  // tokens
	Prefill      float64  `toml:"prefill"` // tokens per second
	Decode       float64  `toml:"decode"`  // tokens per second of each stream
	Warm         bool     `toml:"warm"`
	ColdCapacity int      `toml:"bear"`   // concurrent jobs of a cold engine before it crashes
	Warmup       int      `toml:"warmup"` // finished jobs until it is warm
	Fencing      bool     `toml:"fencing"`
	Models       []string `toml:"models"`  // NAME or NAME@VERSION
	Restart      int      `toml:"restart"` // milliseconds that a crashed engine is unavailable
	LocalWeights bool     `toml:"weights"` // load models from this process's weight store
	WeightStore  string   `toml:"store"`   // address of a weight store in another process
}

// Service is a plain service.
type Service struct {
	Address string `toml:"address"`
	Work    int    `toml:"work"` // milliseconds per call
	Runs    string `toml:"runs"` // address of the run counter; the service's own if empty
}

// Check implements checker.Validator.
func (s *Settings) Check() []checker.Problem {
	var problems checker.Problems
	addresses := map[string]string{
		"table": s.Table.Address, "objects": s.Objects.Address, "list": s.List.Address, "weights": s.Weights.Address, "runs": s.Runs.Address,
		"balancer": s.Balancer.Address,
	}
	for name, a := range addresses {
		problems.Require(a == "" || checker.IsAddress(a), name+".address", "must be IP:PORT")
	}
	for i, e := range s.Engines {
		problems.Require(checker.IsAddress(e.Address), fmt.Sprintf("engine[%d].address", i), "must be IP:PORT")
		problems.Require(e.WeightStore == "" || checker.IsAddress(e.WeightStore), fmt.Sprintf("engine[%d].store", i), "must be IP:PORT")
	}
	for i, v := range s.Services {
		problems.Require(checker.IsAddress(v.Address), fmt.Sprintf("service[%d].address", i), "must be IP:PORT")
		problems.Require(v.Runs == "" || checker.IsAddress(v.Runs), fmt.Sprintf("service[%d].runs", i), "must be IP:PORT")
	}
	problems.Require(s.Balancer.Address == "" || checker.IsAddress(s.Balancer.Control), "balancer.control", "must be IP:PORT")
	problems.Require(checker.AreAddresses(s.Balancer.Targets), "balancer.targets", "must hold IP:PORT")
	problems.Require(s.Balancer.Interval >= 0, "balancer.every", "must not be negative")
	empty := s.Table.Address+s.Objects.Address+s.List.Address+s.Weights.Address+s.Runs.Address+s.Balancer.Address == "" && len(s.Engines)+len(s.Services) == 0
	problems.Require(!empty, "table", "at least one system must be set")
	return problems
}

// VMRows returns the VMs in the format of the platform's list.
func (l List) VMRows() []storer.VM {
	rows := []storer.VM{}
	for _, v := range l.VMs {
		rows = append(rows, storer.VM{Name: v.Name, Domain: v.Domain, Address: v.Address, Role: v.Role})
	}
	return rows
}

// InitialModels returns the models that the engine has loaded at its start. The
// version of a model without one is "1".
func (e Engine) InitialModels() []generator.Model {
	var models []generator.Model
	for _, text := range e.Models {
		m := generator.Model{Name: text, Version: "1"}
		for i := range text {
			if text[i] == '@' {
				m = generator.Model{Name: text[:i], Version: text[i+1:]}
			}
		}
		models = append(models, m)
	}
	return models
}

// String returns the number of engines and services.
func (s *Settings) String() string {
	return fmt.Sprintf("%d engines, %d services", len(s.Engines), len(s.Services))
}
