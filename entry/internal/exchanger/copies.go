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
	// Hear applies what another entry tells.
	Hear(entry string, c refresher.Copy, now time.Time)
}

// Copies is the Knowledge of how fresh the entries' copies of the servers' rows are.
type Copies struct{ Registrations Registrations }

// Tell implements Knowledge.
func (c Copies) Tell(o *wire.Outstanding, now time.Time) {
	if own, found := c.Registrations.Copy(now); found {
		o.ServersEra, o.ServersVersion, o.ServersAgeMs = own.Newest.Era, own.Newest.Version, uint32(max(0, own.Age.Milliseconds()))
	}
}

// Hear implements Knowledge.
func (c Copies) Hear(o *wire.Outstanding, now time.Time) {
	if o.GetServersVersion() <= 0 {
		return
	}
	c.Registrations.Hear(o.GetEntry(), refresher.Copy{
		Newest: follower.Position{Era: o.GetServersEra(), Version: o.GetServersVersion()},
		Age:    time.Duration(o.GetServersAgeMs()) * time.Millisecond,
	}, now)
}
