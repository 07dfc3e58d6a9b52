package replayer

import (
	"math/rand/v2"
	"time"
)

// Outage is a time in which no entry accepts requests. Callers send theirs again when it
// ends, within Spread.
type Outage struct {
	From, Until, Spread time.Duration
}

// accepted returns when a request that is first sent at a time is accepted.
func (o Outage) accepted(at time.Duration, random *rand.Rand) time.Duration {
	if at < o.From || at >= o.Until {
		return at
	}
	return o.Until + time.Duration(random.Float64()*float64(o.Spread))
}

// PowerLoss returns a load at which all entries lose power for two seconds while engines,
// whose requests have ended, are idle: the callers of these seconds come back at once.
func PowerLoss() Load {
	l := Waves()
	l.Engines, l.Entries, l.UpdateDelay, l.Length = 30, 8, 40*time.Millisecond, 14*time.Second
	for i := range l.Classes {
		l.Classes[i].Rate *= 2
	}
	l.Phases = []Phase{{Until: time.Hour, Factors: []float64{1.2, 0.8, 0.5}}}
	l.Outage = Outage{From: 5 * time.Second, Until: 7 * time.Second, Spread: 600 * time.Millisecond}
	return l
}
