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

// Status is the state of the system as seen by one entry.
type Status struct {
	Sequence uint64         `json:"sequence"`
	AgeMs    int64          `json:"age_ms"` // since the configuration was confirmed
	Entries  []string       `json:"entries"`
	Servers  []ServerStatus `json:"servers"`
}

// ServerStatus is the state of one backend server as seen by one entry.
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
		s.Servers = append(s.Servers, a.serverStatus(v, "alive"))
	}
	for _, v := range view.Unavailable {
		s.Servers = append(s.Servers, a.serverStatus(v, "gone"))
	}
	writeJSON(w, s)
}

func (a *Administrator) serverStatus(v watcher.Server, health string) ServerStatus {
	if health == "alive" && (a.config.Watcher.Silent(v) || v.FailedCalls > 0) {
		health = "suspect"
	}
	return ServerStatus{
		Server: v.GetServer(), VM: v.GetVm(), Domain: v.GetDomain(), State: v.GetState().String(), Health: health,
		Running: v.GetRunning(), Limit: v.GetLimit(), Free: v.GetFree(), Sequence: v.GetSequence(),
	}
}

// Propagation describes which processes have a sequence number of the
// configuration active.
type Propagation struct {
	Sequence uint64       `json:"sequence"`
	Entries  ProcessCount `json:"entries"`
	Sidecars ProcessCount `json:"sidecars"`
}

// ProcessCount counts the processes that have a sequence number active.
type ProcessCount struct {
	Active  int              `json:"in_force"`
	Total   int              `json:"total"`
	Lagging []LaggingProcess `json:"behind"`
}

// LaggingProcess is a process that is not known to have a sequence number
// active.
type LaggingProcess struct {
	Name        string `json:"name"`
	Sequence    uint64 `json:"sequence"`
	Unreachable bool   `json:"silent"` // it did not answer this survey
}

// Complete reports whether a sequence number is active in all processes.
func (p Propagation) Complete() bool {
	return p.Entries.Active == p.Entries.Total && p.Sidecars.Active == p.Sidecars.Total
}

func countProcesses(all []gossiper.Standing, sequence uint64) ProcessCount {
	t := ProcessCount{Total: len(all), Lagging: []LaggingProcess{}}
	for _, s := range all {
		if s.Sequence >= sequence && !s.Unreachable {
			t.Active++
			continue
		}
		t.Lagging = append(t.Lagging, LaggingProcess{Name: s.Name, Sequence: s.Sequence, Unreachable: s.Unreachable})
	}
	return t
}

func (a *Administrator) propagation(w http.ResponseWriter, q *http.Request, _ settings.Operator) {
	sequence := a.config.Keeper.HighestObserved()
	if text := q.FormValue("sequence"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeFailure(w, http.StatusBadRequest, Failure{Code: "bad_sequence", Message: "sequence must be a whole number"})
			return
		}
		sequence = n
	}
	entries, servers := a.config.Gossiper.Survey(q.Context())
	servers = slices.DeleteFunc(servers, func(s gossiper.Standing) bool { return s.Name == "" })
	writeJSON(w, Propagation{Sequence: sequence, Entries: countProcesses(entries, sequence), Sidecars: countProcesses(servers, sequence)})
}
