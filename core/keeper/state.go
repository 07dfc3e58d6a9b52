package keeper

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bamboohill/wire"
)

// Kinds of configuration rows; a row's key is KIND/NAME.
const (
	KindAccount = "account"
	KindPlan    = "plan"
	KindDomain  = "domain"
	KindVM      = "vm"
	KindPardon  = "pardon"
)

// Kinds lists every kind of row.
var Kinds = []string{KindAccount, KindPlan, KindDomain, KindVM, KindPardon}

// GapError reports that a change does not directly follow the state that it
// should be applied to. Have and Got are the sequence numbers of both.
type GapError struct {
	Have uint64
	Got  uint64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("keeper: have sequence %d, got %d", e.Have, e.Got)
}

// State is the configuration at one sequence number. It is immutable and shared
// by its readers.
type State struct {
	Sequence uint64
	rows     map[string]*wire.Row
	keys     map[[sha256.Size]byte]string // caller key hash to account
	recent   []*wire.Change               // the last changes, consecutive
}

// maxRecentChanges is the number of changes that a state keeps for peers that
// are behind.
const maxRecentChanges = 256

// Empty returns the state before the first change.
func Empty() *State {
	return &State{rows: map[string]*wire.Row{}, keys: map[[sha256.Size]byte]string{}}
}

// FromSnapshot returns the state of a snapshot.
func FromSnapshot(snapshot *wire.Snapshot) *State {
	s := Empty()
	s.Sequence = snapshot.GetSequence()
	for _, row := range snapshot.GetRows() {
		s.set(row)
	}
	return s
}

// Snapshot returns the state as a message, with rows in order of key.
func (s *State) Snapshot() *wire.Snapshot {
	snapshot := &wire.Snapshot{Sequence: s.Sequence}
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		snapshot.Rows = append(snapshot.Rows, s.rows[key])
	}
	return snapshot
}

// Apply returns the state after the changes. Changes at or below the state's
// sequence number are ignored. If a change is missing, Apply returns a *GapError
// and the state up to the gap.
func (s *State) Apply(changes []*wire.Change) (*State, error) {
	next := s
	for _, c := range changes {
		if c.GetSequence() <= next.Sequence {
			continue
		}
		if c.GetSequence() != next.Sequence+1 {
			return next, &GapError{Have: next.Sequence, Got: c.GetSequence()}
		}
		if next == s {
			next = s.clone()
		}
		next.apply(c)
	}
	return next, nil
}

func (s *State) clone() *State {
	recent := s.recent[max(0, len(s.recent)-maxRecentChanges):]
	return &State{Sequence: s.Sequence, rows: maps.Clone(s.rows), keys: maps.Clone(s.keys), recent: slices.Clone(recent)}
}

func (s *State) apply(c *wire.Change) {
	s.Sequence = c.GetSequence()
	s.recent = append(s.recent, c)
	s.unset(c.GetKey())
	if c.GetRecord() != nil {
		s.set(&wire.Row{Key: c.GetKey(), Version: c.GetVersion(), Record: c.GetRecord()})
	}
}

func (s *State) set(row *wire.Row) {
	s.rows[row.GetKey()] = row
	for _, k := range row.GetRecord().GetAccount().GetKeys() {
		if len(k) == sha256.Size {
			s.keys[[sha256.Size]byte(k)] = row.GetRecord().GetAccount().GetName()
		}
	}
}

func (s *State) unset(key string) {
	account := s.rows[key].GetRecord().GetAccount()
	for _, k := range account.GetKeys() {
		if len(k) == sha256.Size && s.keys[[sha256.Size]byte(k)] == account.GetName() {
			delete(s.keys, [sha256.Size]byte(k))
		}
	}
	delete(s.rows, key)
}

// Since returns what a process at the sequence number after needs to reach this
// state: the changes if they are all kept, else a snapshot.
func (s *State) Since(after uint64) *wire.Batch {
	b := &wire.Batch{Sequence: s.Sequence}
	switch {
	case after >= s.Sequence:
	case len(s.recent) > 0 && s.recent[0].GetSequence() <= after+1:
		b.Changes = s.recent[after+1-s.recent[0].GetSequence():]
	default:
		b.Snapshot = s.Snapshot()
	}
	return b
}

// Owner returns the name of the account that has a caller key with this SHA-256
// hash, or "".
func (s *State) Owner(hash []byte) string {
	if len(hash) != sha256.Size {
		return ""
	}
	return s.keys[[sha256.Size]byte(hash)]
}

// Row returns the row with the key KIND/NAME, nil if there is none.
func (s *State) Row(key string) *wire.Row { return s.rows[key] }

// Rows returns the rows of a kind in order of name.
func (s *State) Rows(kind string) []*wire.Row {
	var rows []*wire.Row
	for _, key := range slices.Sorted(maps.Keys(s.rows)) {
		if strings.HasPrefix(key, kind+"/") {
			rows = append(rows, s.rows[key])
		}
	}
	return rows
}

// Len returns the number of rows.
func (s *State) Len() int { return len(s.rows) }

// Account returns a client account, nil if there is none.
func (s *State) Account(name string) *wire.Account {
	return s.rows[KindAccount+"/"+name].GetRecord().GetAccount()
}

// Plan returns a plan, nil if there is none.
func (s *State) Plan(name string) *wire.Plan {
	return s.rows[KindPlan+"/"+name].GetRecord().GetPlan()
}

// OutOfService reports whether a VM or its failure domain has been taken out of
// service.
func (s *State) OutOfService(domain, vm string) bool {
	return s.rows[KindDomain+"/"+domain].GetRecord().GetDomain().GetOut() ||
		s.rows[KindVM+"/"+vm].GetRecord().GetVm().GetOut()
}

// DeniedError reports why a caller is denied access.
type DeniedError struct {
	Cause string // key, account, plan, model or service
}

// Error implements error.
func (e *DeniedError) Error() string { return "keeper: denied: " + e.Cause }

// Identify returns the account and the plan that belong to a caller's key. The
// error is a *DeniedError if the key is unknown, the account is closed or its
// plan does not exist.
func (s *State) Identify(key string) (*wire.Account, *wire.Plan, error) {
	name, found := s.keys[sha256.Sum256([]byte(key))]
	if !found {
		return nil, nil, &DeniedError{Cause: "key"}
	}
	account := s.Account(name)
	if account == nil || account.GetClosed() {
		return nil, nil, &DeniedError{Cause: "account"}
	}
	plan := s.Plan(account.GetPlan())
	if plan == nil {
		return nil, nil, &DeniedError{Cause: "plan"}
	}
	return account, plan, nil
}

// Allows reports whether a plan permits a model in a version (empty means any
// version) with an adapter (empty means none).
func Allows(plan *wire.Plan, model, version, adapter string) bool {
	for _, o := range plan.GetOffers() {
		if o.GetModel() != model && o.GetModel() != "*" {
			continue
		}
		if o.GetVersion() != "" && version != "" && o.GetVersion() != version {
			continue
		}
		if adapter == "" || slices.Contains(o.GetAdapters(), adapter) || slices.Contains(o.GetAdapters(), "*") {
			return true
		}
	}
	return false
}
