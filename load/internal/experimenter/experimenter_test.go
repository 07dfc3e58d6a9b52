package experimenter_test

import (
	"bytes"
	"testing"
	"time"

	"bamboohill/load/internal/experimenter"
	"bamboohill/load/internal/publisher"

	"github.com/matryer/is"
)

// small simulates a configuration that runs in a fraction of a second.
func small(policy experimenter.Policy, load float64) experimenter.Row {
	mix := experimenter.Mix{Seed: 1, Engines: 6, Load: load, Length: 2 * time.Minute}
	setup := experimenter.Setup{Policy: policy, Engines: 6, Seed: 1, Warmup: 30 * time.Second}
	return experimenter.Row{Load: load, Result: experimenter.Run(setup, experimenter.Generate(mix))}
}

func TestRunIsDeterministic(t *testing.T) {
	is := is.New(t)
	var a, b bytes.Buffer
	publisher.WriteLine(&a, small(experimenter.Full, 0.8))
	publisher.WriteLine(&b, small(experimenter.Full, 0.8))
	is.Equal(a.String(), b.String())
}

func TestMix(t *testing.T) {
	is := is.New(t)
	trace := experimenter.Generate(experimenter.Mix{Seed: 1, Engines: 20, Load: 0.8, Length: 5 * time.Minute})
	longs := 0
	for _, q := range trace {
		is.True(q.Prompt >= 1_000 && q.Prompt <= 1_000_000)
		is.True(q.Shared < q.Prompt)
		if q.Class == experimenter.Long {
			longs++
		}
	}
	share := float64(longs) / float64(len(trace))
	is.True(share > 0.017 && share < 0.023) // one in fifty
}

func TestEveryRequestIsCountedOnce(t *testing.T) {
	for _, policy := range append(experimenter.Baselines, experimenter.Full) {
		t.Run(string(policy), func(t *testing.T) {
			is := is.New(t)
			r := small(policy, 1.2).Result
			is.True(r.Sent > 500)
			is.Equal(r.InTime+r.Late+r.Refused+r.Limited, r.Sent)
		})
	}
}

func TestShortRequestsAreFast(t *testing.T) {
	is := is.New(t)
	full, least := small(experimenter.Full, 0.8).Result, small(experimenter.LeastConns, 0.8).Result
	is.True(3*full.FirstToken[experimenter.Short].P95 <= least.FirstToken[experimenter.Short].P95)
}
