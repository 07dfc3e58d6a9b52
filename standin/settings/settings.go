// Package settings holds the settings of the program standin.
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

// Settings names the systems that one process stands in for.
type Settings struct {
	Level    string    `toml:"level"` // of the log
	Table    Table     `toml:"table"`
	Objects  Endpoint  `toml:"objects"`
	List     List      `toml:"list"`
	Weights  Weights   `toml:"weights"`
	Runs     Endpoint  `toml:"runs"` // log of the plain services' runs
	Engines  []Engine  `toml:"engine"`
	Services []Service `toml:"service"`
	Balancer Balancer  `toml:"balancer"`
}

// Balancer is the platform's balancer before the entries.
type Balancer struct {
	Address  string   `toml:"address"` // for callers
	Control  string   `toml:"control"` // for its faults and counts
	Targets  []string `toml:"targets"` // the entries' addresses for callers
	Interval int      `toml:"every"`   // milliseconds between questions whether one is ready
}

// Endpoint is a system that needs an address alone; an empty one is not started.
type Endpoint struct {
	Address string `toml:"address"`
}

// Table is the table service.
type Table struct {
	Address string `toml:"address"`
	Journal string `toml:"journal"` // file that keeps its rows; in memory alone if empty
}

// List is the platform's list of VMs.
type List struct {
	Address string `toml:"address"`
	Lag     int    `toml:"lag"` // milliseconds
	VMs     []VM   `toml:"vm"`
}

// VM is one line of the list at the start.
type VM struct {
	Name    string `toml:"name"`
	Domain  string `toml:"domain"`
	Address string `toml:"address"`
	Role    string `toml:"role"`
}

// Weights is the weight store.
type Weights struct {
	Address string  `toml:"address"`
	Rate    float64 `toml:"rate"` // loads a second
	Burst   int     `toml:"burst"`
}

// Engine is a model engine; zero values mean modelserver's defaults.
type Engine struct {
	Address      string   `toml:"address"`
	Memory       int64    `toml:"memory"`  // tokens
	Prefill      float64  `toml:"prefill"` // tokens a second
	Decode       float64  `toml:"decode"`  // tokens a second
	Warm         bool     `toml:"warm"`
	ColdCapacity int      `toml:"bear"`   // jobs at once when cold
	Warmup       int      `toml:"warmup"` // finished jobs
	Fencing      bool     `toml:"fencing"`
	Models       []string `toml:"models"`  // NAME or NAME@VERSION
	Restart      int      `toml:"restart"` // milliseconds
	Weights      bool     `toml:"weights"` // loads go through this process's weight store
	Store        string   `toml:"store"`   // address of a weight store in another process
}

// Service is a plain service.
type Service struct {
	Address string `toml:"address"`
	Work    int    `toml:"work"` // milliseconds a call
	Runs    string `toml:"runs"` // address of the log of runs; its own if empty
}

// Check implements checker.Checked.
func (s *Settings) Check() []checker.Problem {
	var bad checker.Problems
	places := map[string]string{
		"table": s.Table.Address, "objects": s.Objects.Address, "list": s.List.Address, "weights": s.Weights.Address, "runs": s.Runs.Address,
		"balancer": s.Balancer.Address,
	}
	for name, a := range places {
		bad.Require(a == "" || checker.IsAddress(a), name+".address", "must be IP:PORT")
	}
	for i, e := range s.Engines {
		bad.Require(checker.IsAddress(e.Address), fmt.Sprintf("engine[%d].address", i), "must be IP:PORT")
		bad.Require(e.Store == "" || checker.IsAddress(e.Store), fmt.Sprintf("engine[%d].store", i), "must be IP:PORT")
	}
	for i, v := range s.Services {
		bad.Require(checker.IsAddress(v.Address), fmt.Sprintf("service[%d].address", i), "must be IP:PORT")
		bad.Require(v.Runs == "" || checker.IsAddress(v.Runs), fmt.Sprintf("service[%d].runs", i), "must be IP:PORT")
	}
	bad.Require(s.Balancer.Address == "" || checker.IsAddress(s.Balancer.Control), "balancer.control", "must be IP:PORT")
	bad.Require(checker.AreAddresses(s.Balancer.Targets), "balancer.targets", "must hold IP:PORT")
	bad.Require(s.Balancer.Interval >= 0, "balancer.every", "must not be negative")
	none := s.Table.Address+s.Objects.Address+s.List.Address+s.Weights.Address+s.Runs.Address+s.Balancer.Address == "" && len(s.Engines)+len(s.Services) == 0
	bad.Require(!none, "table", "at least one system must be set")
	return bad
}

// VMRows returns the list's lines.
func (l List) VMRows() []storer.VM {
	rows := []storer.VM{}
	for _, v := range l.VMs {
		rows = append(rows, storer.VM{Name: v.Name, Domain: v.Domain, Address: v.Address, Role: v.Role})
	}
	return rows
}

// InitialModels returns the engine's models; one without a version has version 1.
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

// String names what the settings start.
func (s *Settings) String() string {
	return fmt.Sprintf("%d engines, %d services", len(s.Engines), len(s.Services))
}
