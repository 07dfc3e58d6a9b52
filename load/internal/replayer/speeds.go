package replayer

import (
	"strconv"
	"time"

	"bamboohill/core/assigner"
	"bamboohill/core/gauger"
	"bamboohill/core/predictor"
	"bamboohill/core/viewer"
)

// Speeds says what entries know about the speed of engines.
type Speeds int

// Knowledge of entries about the speed of engines.
const (
	Unknown   Speeds = iota // all engines are taken to be as fast as their description
	Estimated               // core/gauger estimates them from the answers
	Known                   // at once and exactly: the bound of what an estimate can gain
)

// SpeedNames are the names of Speeds in settings.
var SpeedNames = map[string]Speeds{"unknown": Unknown, "estimated": Estimated, "known": Known}

// Times between which some engines of Unlike are slow.
const (
	slowFrom  = 4 * time.Second
	slowUntil = 24 * time.Second
)

// Unlike returns Waves over eight entries with engines of three speeds for twenty seconds:
// of 14, two take 1.6 times as long as described and two take three times as long.
func Unlike() Load {
	l := Waves()
	l.Entries, l.UpdateDelay = 8, 20*time.Millisecond
	factors := map[int]float64{1: 3, 5: 1.6, 8: 3, 12: 1.6}
	l.Slowdown = func(engine int, at time.Duration) float64 {
		if at < slowFrom || at >= slowUntil {
			return 1
		}
		return max(1, factors[engine])
	}
	return l
}

// startGauging gives each entry a gauger, if speeds are estimated.
func (r *replay) startGauging() {
	if r.config.Speeds != Estimated {
		return
	}
	for range r.trackers {
		r.gaugers = append(r.gaugers, gauger.New())
	}
}

// applySlowdown sets what an entry knows about the speed of an engine.
func (r *replay) applySlowdown(c *assigner.Candidate, entry, engine int) {
	c.Slowdown = 1
	switch {
	case r.gaugers != nil:
		c.Slowdown = r.gaugers[entry].Slowdown(gauger.Run{Server: c.ID}, epoch.Add(r.emulator.Now()))
	case r.config.Speeds == Known && r.config.Load.Slowdown != nil:
		c.Slowdown = r.config.Load.Slowdown(engine, r.emulator.Now())
	}
	if c.Slowdown > 1 {
		c.EntryRank = 1
	}
}

// exchangeSpeeds tells every entry the speeds that the others know.
func (r *replay) exchangeSpeeds(now time.Time) {
	const most = 24
	for i, g := range r.gaugers {
		speeds := g.Own(most, now)
		for _, j := range r.peers(i) {
			if i != j {
				r.gaugers[j].ApplyPeer(strconv.Itoa(i), speeds, now)
			}
		}
	}
}

// recordPass records a pause between two events of an answer.
func (r *replay) recordPass(entry int, id viewer.ServerID, pause time.Duration) {
	if r.gaugers == nil {
		return
	}
	now := epoch.Add(r.emulator.Now())
	load := r.trackers[entry].Load(id, now)
	engine := &r.config.Load.Engine
	predicted := engine.PassTime(predictor.Batch{Decoding: load.DecodingTotal(), Context: load.ContextTokens})
	if run := (gauger.Run{Server: id}); load.Prefill < predicted && r.gaugers[entry].Wants(run, now) {
		r.gaugers[entry].RecordPass("service", run, pause, predicted, now)
	}
}
