package exchanger

import (
	"time"

	"bamboohill/core/follower"
	"bamboohill/core/refresher"
	"bamboohill/wire"
)

// Registrations is this entry's copy of the servers' rows in the store.
type Registrations interface {
	// Copy returns what other entries are told. It reports false if there is no copy.
	Copy(now time.Time) (refresher.Copy, bool)
	// ApplyPeerCopy applies what another entry tells.
	ApplyPeerCopy(entry string, c refresher.Copy, now time.Time)
}

// Copies is the Knowledge of how fresh the entries' copies of the servers' rows are.
type Copies struct{ Registrations Registrations }

// Encode implements Knowledge.
func (c Copies) Encode(o *wire.Outstanding, now time.Time) {
	if own, found := c.Registrations.Copy(now); found {
		o.ServersEra, o.ServersVersion, o.ServersAgeMs = own.Newest.Era, own.Newest.Version, uint32(max(0, own.Age.Milliseconds()))
	}
}

// Apply implements Knowledge.
func (c Copies) Apply(o *wire.Outstanding, now time.Time) {
	if o.GetServersVersion() <= 0 {
		return
	}
	c.Registrations.ApplyPeerCopy(o.GetEntry(), refresher.Copy{
		Newest: follower.Position{Era: o.GetServersEra(), Version: o.GetServersVersion()},
		Age:    time.Duration(o.GetServersAgeMs()) * time.Millisecond,
	}, now)
}
