package exchanger

import (
	"math"
	"time"

	"bamboohill/core/gauger"
	"bamboohill/wire"
)

// maxSpeeds bounds the speeds in one datagram; each takes about 12 B.
const maxSpeeds = 24

// speeds is the Knowledge of the speed of backend servers that deviate.
type speeds struct{ gauger *gauger.Gauger }

// Speeds returns the Knowledge of the speed of backend servers.
func Speeds(g *gauger.Gauger) Knowledge { return speeds{gauger: g} }

// Tell implements Knowledge.
func (s speeds) Tell(o *wire.Outstanding, now time.Time) {
	for _, v := range s.gauger.Own(maxSpeeds, now) {
		o.Speeds = append(o.Speeds, &wire.ServerSpeed{
			Server: v.Run, SlowdownTenths: uint32(math.Round(tenths * v.Slowdown)), SamplesTenths: uint32(tenths * v.Samples),
		})
	}
}

// Hear implements Knowledge.
func (s speeds) Hear(o *wire.Outstanding, now time.Time) {
	var all []gauger.Speed
	for _, v := range o.GetSpeeds() {
		all = append(all, gauger.Speed{Run: v.GetServer(), Slowdown: float64(v.GetSlowdownTenths()) / tenths, Samples: float64(v.GetSamplesTenths()) / tenths})
	}
	s.gauger.ApplyPeer(o.GetEntry(), all, now)
}
