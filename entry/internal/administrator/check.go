package administrator

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"bamboohill/core/keeper"
	"bamboohill/wire"
)

// references holds the names that a row may refer to.
type references struct {
	state   *keeper.State
	domains []string // failure domains of backend servers
	vms     []string // VMs of backend servers
}

func (a *Administrator) references() references {
	f := references{state: a.config.Keeper.State()}
	view := a.config.Watcher.View()
	for _, s := range slices.Concat(view.Servers, view.Unavailable) {
		f.domains = append(f.domains, s.GetDomain())
		f.vms = append(f.vms, s.GetVm())
	}
	return f
}

// namePattern matches a valid name of a row.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// maxTimeoutMs is the maximum timeout of a request in milliseconds.
const maxTimeoutMs = 3_600_000

// validate returns an error that lists all faults of a row, one per line. A nil
// record deletes the row. A failure domain or VM that is not known is refused
// unless unknown is set.
func validate(f references, key string, r *wire.Record, unknown bool) error {
	kind, name, _ := strings.Cut(key, "/")
	if !namePattern.MatchString(name) {
		return fmt.Errorf("name %q must be 1 to 63 letters, digits, '.', '_' or '-' and start with a letter or digit", name)
	}
	if r == nil {
		return validateDelete(f, kind, name)
	}
	switch kind {
	case keeper.KindAccount:
		return validateAccount(f, r.GetAccount())
	case keeper.KindPlan:
		return validatePlan(r.GetPlan())
	case keeper.KindDomain:
		return validatePlacement(f, kind, name, f.domains, unknown)
	case keeper.KindVM:
		return validatePlacement(f, kind, name, f.vms, unknown)
	}
	return nil
}

func validateDelete(f references, kind, name string) error {
	if kind != keeper.KindPlan {
		return nil
	}
	for _, row := range f.state.Rows(keeper.KindAccount) {
		if row.GetRecord().GetAccount().GetPlan() == name {
			return fmt.Errorf("plan %s is in use by account %s", name, row.GetRecord().GetAccount().GetName())
		}
	}
	return nil
}

func validateAccount(f references, a *wire.Account) error {
	var problems []error
	if f.state.Plan(a.GetPlan()) == nil {
		problems = append(problems, fmt.Errorf("plan %q does not exist", a.GetPlan()))
	}
	for _, k := range a.GetKeys() {
		if len(k) != keyBytes {
			problems = append(problems, fmt.Errorf("keys must hold SHA-256 sums of %d bytes in base64, not one of %d bytes", keyBytes, len(k)))
			continue
		}
		if owner := f.state.Owner(k); owner != "" && owner != a.GetName() {
			problems = append(problems, fmt.Errorf("key %s belongs to account %s", keyName(k), owner))
		}
	}
	return errors.Join(problems...)
}

func validatePlan(p *wire.Plan) error {
	var problems []error
	requireRange := func(name string, value, maxValue float64) {
		if !(value >= 0 && value <= maxValue) {
			problems = append(problems, fmt.Errorf("%s must be from 0 to %g, not %g", name, maxValue, value))
		}
	}
	requireRange("rate", p.GetRate(), 1e6)
	requireRange("concurrency", float64(p.GetConcurrency()), 1e6)
	requireRange("weight", p.GetWeight(), 1e3)
	requireRange("timeoutMs", float64(p.GetTimeoutMs()), maxTimeoutMs)
	requireRange("stalenessMs", float64(p.GetStalenessMs()), math.MaxInt32)
	requireRange("context", float64(p.GetContext()), 1e9)
	for _, o := range p.GetOffers() {
		if o.GetModel() == "" {
			problems = append(problems, errors.New("offers: model must name a model, or be *"))
		}
		problems = append(problems, validateRoles(o)...)
	}
	if slices.Contains(p.GetServices(), "") {
		problems = append(problems, errors.New("services must not hold an empty name"))
	}
	if p.GetRefuseStale() && p.GetStalenessMs() == 0 {
		problems = append(problems, errors.New("refuseStale needs stalenessMs above 0"))
	}
	return errors.Join(problems...)
}

// validateRoles returns the faults of the roles of an offer.
func validateRoles(o *wire.Offer) []error {
	var problems []error
	total := 0.0
	for _, r := range o.GetRoles() {
		if !namePattern.MatchString(r.GetRole()) {
			problems = append(problems, fmt.Errorf("offers: role %q of %s is no name", r.GetRole(), o.GetModel()))
		}
		if !(r.GetShare() >= 0) {
			problems = append(problems, fmt.Errorf("offers: share of role %s must be from 0 to 1, not %g", r.GetRole(), r.GetShare()))
		}
		total += r.GetShare()
	}
	if total > 1 {
		problems = append(problems, fmt.Errorf("offers: shares of the roles of %s must be at most 1 together, not %g", o.GetModel(), total))
	}
	return problems
}

func validatePlacement(f references, kind, name string, known []string, unknown bool) error {
	if unknown || slices.Contains(known, name) || f.state.Row(kind+"/"+name) != nil {
		return nil
	}
	all := slices.Compact(slices.Sorted(slices.Values(known)))
	if len(all) > 20 {
		all = append(all[:20], "...")
	}
	return fmt.Errorf("%s %q is unknown; known are: %s", kind, name, strings.Join(all, " "))
}

// keyBytes is the length of the hash of a caller key.
const keyBytes = 32

// keyName returns the name of a caller key: the first digits of its hash.
func keyName(hash []byte) string { return hex.EncodeToString(hash)[:keyDigits] }

// keyDigits is the length of the name of a caller key in hexadecimal digits.
const keyDigits = 12
