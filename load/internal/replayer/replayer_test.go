package replayer_test

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/load/internal/replayer"

	"github.com/matryer/is"
)

// seeds is the number of runs over which a bound is checked, because the
// results of single runs differ by a tenth.
const seeds = 12

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// replayDefaultSeeds replays a load with the default number of seeds.
func replayDefaultSeeds(t *testing.T, l replayer.Load, p assigner.Policy) (classes []replayer.Count, value float64) {
	t.Helper()
	return replaySeeds(t, l, p, seeds)
}

// replaySeeds returns the sum of each class's counts and the mean value share over a number of seeds.
func replaySeeds(t *testing.T, l replayer.Load, p assigner.Policy, runs uint64) (classes []replayer.Count, value float64) {
	t.Helper()
	classes = make([]replayer.Count, len(l.Classes))
	for seed := range runs {
		r := replayer.Replay(replayer.Config{Load: l, Policy: p, Seed: seed})
		value += r.ValueShare() / float64(runs)
		for i, c := range r.Classes {
			classes[i].Requests += c.Requests
			classes[i].InTime += c.InTime
			classes[i].Late += c.Late
			classes[i].Refused += c.Refused
		}
	}
	t.Logf("%T worth %.3f in time %.3f %.3f %.3f refused %d %d %d", p, value, classes[0].InTimeShare(), classes[1].InTimeShare(), classes[2].InTimeShare(),
		classes[0].Refused, classes[1].Refused, classes[2].Refused)
	return classes, value
}

// TestWaves replays alternating bursts of short and long prompts (quiet-1 of
// balloonlog-ng). It compares the policy with least connections, which reaches
// 0.69 of the possible value here, and random choice, which reaches 0.58.
func TestWaves(t *testing.T) {
	is := is.New(t)
	classes, value := replayDefaultSeeds(t, replayer.Waves(), assigner.CostBased{})
	is.True(value > 0.86)
	is.True(classes[0].InTimeShare() > 0.89) // short prompts during bursts of long ones
	is.True(classes[1].InTimeShare() > 0.78)
	is.True(classes[2].InTimeShare() > 0.82) // engines prefill parts of split prompts first, the newest before the others
	_, least := replayDefaultSeeds(t, replayer.Waves(), assigner.LeastLoaded{Source: source()})
	_, random := replayDefaultSeeds(t, replayer.Waves(), assigner.Random{Source: source()})
	is.True(value > least+0.15)
	is.True(value > random+0.2)
}

// TestFlood replays more short prompts than seven engines can serve (trouble-1
// of vtg-router from second 22). Without refusals, four in five are late.
func TestFlood(t *testing.T) {
	is := is.New(t)
	classes, value := replayDefaultSeeds(t, replayer.Flood(), assigner.CostBased{})
	open, all := replayDefaultSeeds(t, replayer.Flood(), assigner.CostBased{Disabled: assigner.Refusing})
	is.True(classes[0].InTimeShare() > 0.62)
	is.True(classes[0].InTimeShare() > open[0].InTimeShare()+0.25)
	is.True(value > all+0.15)
	is.True(classes[0].Refused < classes[0].Requests/5) // most callers that retry are served
}

// TestPromptsLargerThanEngine replays long prompts that may exceed the memory
// of one engine: some of the largest are served, and they don't displace the
// other requests.
func TestPromptsLargerThanEngine(t *testing.T) {
	is := is.New(t)
	l := replayer.Waves()
	l.Classes[2].Tokens.Sigma = 0.8 // one in eight has more than 400,000 tokens
	classes, value := replayDefaultSeeds(t, l, assigner.CostBased{})
	is.True(classes[2].Refused < classes[2].Requests/3)
	is.True(classes[0].InTimeShare() > 0.8)
	is.True(value > 0.6)
}

// TestReplayIsDeterministic checks that two replays with one seed give the same result.
func TestReplayIsDeterministic(t *testing.T) {
	is := is.New(t)
	var first, again bytes.Buffer
	for _, out := range []*bytes.Buffer{&first, &again} {
		is.NoErr(replayer.Replay(replayer.Config{Load: replayer.Flood(), Policy: assigner.CostBased{}, Seed: 3}).Write(out))
	}
	is.Equal(first.String(), again.String())
}

// TestRequestsAreCountedOnce checks that every request has at most one outcome.
func TestRequestsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	for _, p := range []assigner.Policy{assigner.CostBased{}, assigner.LeastLoaded{Source: source()}, assigner.Random{Source: source()}} {
		for _, c := range replayer.Replay(replayer.Config{Load: replayer.Waves(), Policy: p, Seed: 5}).Classes {
			is.True(c.InTime+c.Late+c.Refused <= c.Requests)
			is.True(c.InTime+c.Late+c.Refused >= c.Requests*19/20) // few are still running at the end
		}
	}
}

// crowdSeeds is the number of runs with many entries, each of which has as many
// requests as ten runs of the small deployment.
const crowdSeeds = 3

// TestCrowd replays a burst of short prompts over 31 entries that learn of each
// other's placements late (trouble-1 of vtg-router-grown, seconds 2 to 12). If
// all entries rank equal engines in the same order, only half of the short
// prompts are in time.
func TestCrowd(t *testing.T) {
	is := is.New(t)
	classes, value := replaySeeds(t, replayer.Crowd(), assigner.CostBased{}, crowdSeeds)
	is.True(classes[0].InTimeShare() > 0.95)
	is.True(value > 0.93)
}

// TestCrowdWaves replays bursts of long prompts over many entries: different
// rankings must not prevent entries from prefilling a prompt on several engines.
func TestCrowdWaves(t *testing.T) {
	is := is.New(t)
	l := replayer.Crowd()
	l.Length, l.Phases = 24*time.Second, replayer.Waves().Phases
	classes, value := replaySeeds(t, l, assigner.CostBased{}, crowdSeeds)
	is.True(classes[0].InTimeShare() > 0.9)
	is.True(classes[2].InTimeShare() > 0.75)
	is.True(value > 0.87)
}
