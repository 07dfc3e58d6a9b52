package administrator

import (
	"math"
	"strings"
	"testing"

	"bamboohill/core/keeper"
	"bamboohill/wire"
)

func TestValidate(t *testing.T) {
	hash := make([]byte, keyBytes)
	plan := func(p *wire.Plan) *wire.Record { return &wire.Record{Value: &wire.Record_Plan{Plan: p}} }
	account := func(a *wire.Account) *wire.Record { return &wire.Record{Value: &wire.Record_Account{Account: a}} }
	domain := &wire.Record{Value: &wire.Record_Domain{Domain: &wire.Placement{Name: "x", Out: true}}}
	state, err := keeper.Empty().Apply([]*wire.Change{
		{Sequence: 1, Key: "plan/crew", Version: 1, Record: plan(&wire.Plan{Name: "crew"})},
		{Sequence: 2, Key: "account/desk", Version: 1, Record: account(&wire.Account{Name: "desk", Plan: "crew", Keys: [][]byte{hash}})},
	})
	if err != nil {
		t.Fatal(err)
	}
	f := references{state: state, domains: []string{"ikeja", "lekki"}, vms: []string{"vm1"}}
	for name, test := range map[string]struct {
		key    string
		record *wire.Record
		want   string // part of the message, "" if the row is valid
	}{
		"plan":                    {"plan/p", plan(&wire.Plan{Name: "p", Rate: 2, StalenessMs: 5, RefuseStale: true}), ""},
		"negative rate":           {"plan/p", plan(&wire.Plan{Rate: -1}), "rate must be"},
		"rate not a number":       {"plan/p", plan(&wire.Plan{Rate: math.NaN()}), "rate must be"},
		"endless rate":            {"plan/p", plan(&wire.Plan{Rate: math.Inf(1)}), "rate must be"},
		"negative concurrency":    {"plan/p", plan(&wire.Plan{Concurrency: -1}), "concurrency must be"},
		"negative weight":         {"plan/p", plan(&wire.Plan{Weight: -0.5}), "weight must be"},
		"timeout too long":        {"plan/p", plan(&wire.Plan{TimeoutMs: maxTimeoutMs + 1}), "timeoutMs must be"},
		"negative staleness":      {"plan/p", plan(&wire.Plan{StalenessMs: -1}), "stalenessMs must be"},
		"negative context":        {"plan/p", plan(&wire.Plan{Context: -1}), "context must be"},
		"offer without model":     {"plan/p", plan(&wire.Plan{Offers: []*wire.Offer{{}}}), "model"},
		"service without name":    {"plan/p", plan(&wire.Plan{Services: []string{""}}), "services"},
		"refusal without bound":   {"plan/p", plan(&wire.Plan{RefuseStale: true}), "refuseStale"},
		"two faults":              {"plan/p", plan(&wire.Plan{Rate: -1, Weight: -1}), "\nweight"},
		"bad name":                {"plan/../p", plan(&wire.Plan{}), "name"},
		"delete a plan in use":    {"plan/crew", nil, "in use by account desk"},
		"delete a plan":           {"plan/other", nil, ""},
		"account":                 {"account/a", account(&wire.Account{Name: "a", Plan: "crew"}), ""},
		"unknown plan":            {"account/a", account(&wire.Account{Name: "a", Plan: "gold"}), `plan "gold" does not exist`},
		"short key":               {"account/a", account(&wire.Account{Plan: "crew", Keys: [][]byte{{1}}}), "SHA-256"},
		"key of another account":  {"account/a", account(&wire.Account{Name: "a", Plan: "crew", Keys: [][]byte{hash}}), "belongs to account desk"},
		"key of the same account": {"account/desk", account(&wire.Account{Name: "desk", Plan: "crew", Keys: [][]byte{hash}}), ""},
		"known domain":            {"domain/ikeja", domain, ""},
		"unknown domain":          {"domain/ikeya", domain, "known are: ikeja lekki"},
		"unknown vm":              {"vm/vm2", domain, "known are: vm1"},
	} {
		t.Run(name, func(t *testing.T) {
			err := validate(f, test.key, test.record, false)
			switch {
			case test.want == "" && err != nil:
				t.Errorf("validate = %v, want nil", err)
			case test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want)):
				t.Errorf("validate = %v, want an error that contains %q", err, test.want)
			}
		})
	}
}
