package administrator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"bamboohill/core/watcher"
	"bamboohill/entry/internal/gossiper"
	"bamboohill/entry/internal/settings"
)

// Status is what an entry knows of the system.
type Status struct {
	Sequence uint64         `json:"sequence"`
	AgeMs    int64          `json:"age_ms"` // since the configuration was confirmed
	Entries  []string       `json:"entries"`
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is what an entry knows of one backend server.
type ServerStatus struct {
	Server   string `json:"server"`
	VM       string `json:"vm"`
	Domain   string `json:"domain"`
	State    string `json:"state"`
	Health   string `json:"health"`
	Running  int32  `json:"running"`
	Limit    int32  `json:"limit"`
	Free     int64  `json:"free"`
	Sequence uint64 `json:"sequence"`
}

func (a *Administrator) status(w http.ResponseWriter, _ *http.Request, _ settings.Operator) {
	k := a.config.Keeper
	s := Status{
		Sequence: k.State().Sequence, AgeMs: time.Since(k.Confirmed()).Milliseconds(),
		Entries: a.config.Gossiper.Live(), Servers: []ServerStatus{},
	}
	if s.Entries == nil {
		s.Entries = []string{}
	}
	view := a.config.Watcher.View()
	for _, v := range view.Servers {
		s.Servers = append(s.Servers, a.describe(v, "alive"))
	}
	for _, v := range view.Unavailable {
		s.Servers = append(s.Servers, a.describe(v, "gone"))
	}
	answer(w, s)
}

func (a *Administrator) describe(v watcher.Server, health string) ServerStatus {
	if health == "alive" && (a.config.Watcher.Silent(v) || v.FailedCalls > 0) {
		health = "suspect"
	}
	return ServerStatus{
		Server: v.GetServer(), VM: v.GetVm(), Domain: v.GetDomain(), State: v.GetState().String(), Health: health,
		Running: v.GetRunning(), Limit: v.GetLimit(), Free: v.GetFree(), Sequence: v.GetSequence(),
	}
}

// InForce says where a sequence number is in force.
type InForce struct {
	Sequence uint64 `json:"sequence"`
	Entries  Tally  `json:"entries"`
	Sidecars Tally  `json:"sidecars"`
}

// Tally counts the processes that have a sequence number in force.
type Tally struct {
	InForce int      `json:"in_force"`
	Total   int      `json:"total"`
	Behind  []Behind `json:"behind"`
}

// Behind names a process that does not have a sequence number in force as far
// as is known.
type Behind struct {
	Name     string `json:"name"`
	Sequence uint64 `json:"sequence"`
	Silent   bool   `json:"silent"` // it did not answer just now
}

// All reports whether a sequence number is in force everywhere.
func (f InForce) All() bool {
	return f.Entries.InForce == f.Entries.Total && f.Sidecars.InForce == f.Sidecars.Total
}

func tally(all []gossiper.Standing, sequence uint64) Tally {
	t := Tally{Total: len(all), Behind: []Behind{}}
	for _, s := range all {
		if s.Sequence >= sequence && !s.Unreachable {
			t.InForce++
			continue
		}
		t.Behind = append(t.Behind, Behind{Name: s.Name, Sequence: s.Sequence, Silent: s.Unreachable})
	}
	return t
}

func (a *Administrator) inForce(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	sequence := a.config.Keeper.HighestObserved()
	if text := q.FormValue("sequence"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			fail(w, http.StatusBadRequest, Failure{Code: "bad_sequence", Message: "sequence must be a whole number"})
			return
		}
		sequence = n
	}
	entries, servers := a.config.Gossiper.Survey(q.Context())
	servers = slices.DeleteFunc(servers, func(s gossiper.Standing) bool { return s.Name == "" })
	answer(w, InForce{Sequence: sequence, Entries: tally(entries, sequence), Sidecars: tally(servers, sequence)})
}
