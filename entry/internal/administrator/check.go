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

// facts is what a row is checked against.
type facts struct {
	state   *keeper.State
	domains []string // failure domains that some backend server stands in
	vms     []string // VMs of backend servers
}

func (a *Administrator) facts() facts {
	f := facts{state: a.config.Keeper.State()}
	view := a.config.Watcher.View()
	for _, s := range slices.Concat(view.Servers, view.Unavailable) {
		f.domains = append(f.domains, s.GetDomain())
		f.vms = append(f.vms, s.GetVm())
	}
	return f
}

// nameForm is what a name of a row may be.
var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// longestTimeout is the longest deadline of a request in milliseconds.
const longestTimeout = 3_600_000

// check returns what is wrong with a row, every fault on a line of its own. A
// nil record deletes the row. A failure domain or VM that nobody has heard of
// is refused unless unknown is set.
func check(f facts, key string, r *wire.Record, unknown bool) error {
	kind, name, _ := strings.Cut(key, "/")
	if !nameForm.MatchString(name) {
		return fmt.Errorf("name %q must be 1 to 63 letters, digits, '.', '_' or '-' and start with a letter or digit", name)
	}
	if r == nil {
		return checkDelete(f, kind, name)
	}
	switch kind {
	case keeper.KindAccount:
		return checkAccount(f, r.GetAccount())
	case keeper.KindPlan:
		return checkPlan(r.GetPlan())
	case keeper.KindDomain:
		return checkPlace(f, kind, name, f.domains, unknown)
	case keeper.KindVM:
		return checkPlace(f, kind, name, f.vms, unknown)
	}
	return nil
}

func checkDelete(f facts, kind, name string) error {
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

func checkAccount(f facts, a *wire.Account) error {
	var bad []error
	if f.state.Plan(a.GetPlan()) == nil {
		bad = append(bad, fmt.Errorf("plan %q does not exist", a.GetPlan()))
	}
	for _, k := range a.GetKeys() {
		if len(k) != keyBytes {
			bad = append(bad, fmt.Errorf("keys must hold SHA-256 sums of %d bytes in base64, not one of %d bytes", keyBytes, len(k)))
			continue
		}
		if owner := f.state.Owner(k); owner != "" && owner != a.GetName() {
			bad = append(bad, fmt.Errorf("key %s belongs to account %s", shortKey(k), owner))
		}
	}
	return errors.Join(bad...)
}

func checkPlan(p *wire.Plan) error {
	var bad []error
	number := func(name string, value, most float64) {
		if !(value >= 0 && value <= most) {
			bad = append(bad, fmt.Errorf("%s must be from 0 to %g, not %g", name, most, value))
		}
	}
	number("rate", p.GetRate(), 1e6)
	number("concurrency", float64(p.GetConcurrency()), 1e6)
	number("weight", p.GetWeight(), 1e3)
	number("timeoutMs", float64(p.GetTimeoutMs()), longestTimeout)
	number("stalenessMs", float64(p.GetStalenessMs()), math.MaxInt32)
	number("context", float64(p.GetContext()), 1e9)
	for _, o := range p.GetOffers() {
		if o.GetModel() == "" {
			bad = append(bad, errors.New("offers: model must name a model, or be *"))
		}
		bad = append(bad, checkRoles(o)...)
	}
	if slices.Contains(p.GetServices(), "") {
		bad = append(bad, errors.New("services must not hold an empty name"))
	}
	if p.GetRefuseStale() && p.GetStalenessMs() == 0 {
		bad = append(bad, errors.New("refuseStale needs stalenessMs above 0"))
	}
	return errors.Join(bad...)
}

// checkRoles returns what is wrong with an offer's roles.
func checkRoles(o *wire.Offer) []error {
	var bad []error
	all := 0.0
	for _, r := range o.GetRoles() {
		if !nameForm.MatchString(r.GetRole()) {
			bad = append(bad, fmt.Errorf("offers: role %q of %s is no name", r.GetRole(), o.GetModel()))
		}
		if !(r.GetShare() >= 0) {
			bad = append(bad, fmt.Errorf("offers: share of role %s must be from 0 to 1, not %g", r.GetRole(), r.GetShare()))
		}
		all += r.GetShare()
	}
	if all > 1 {
		bad = append(bad, fmt.Errorf("offers: shares of the roles of %s must be at most 1 together, not %g", o.GetModel(), all))
	}
	return bad
}

func checkPlace(f facts, kind, name string, heard []string, unknown bool) error {
	if unknown || slices.Contains(heard, name) || f.state.Row(kind+"/"+name) != nil {
		return nil
	}
	all := slices.Compact(slices.Sorted(slices.Values(heard)))
	if len(all) > 20 {
		all = append(all[:20], "...")
	}
	return fmt.Errorf("%s %q is unknown; known are: %s", kind, name, strings.Join(all, " "))
}

// keyBytes is the length of a caller key's hash.
const keyBytes = 32

// shortKey names a caller key by the first digits of its hash.
func shortKey(hash []byte) string { return hex.EncodeToString(hash)[:keyDigits] }

// keyDigits is how many digits of its hash name a caller key.
const keyDigits = 12
