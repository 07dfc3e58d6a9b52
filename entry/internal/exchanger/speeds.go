package exchanger

import (
	"math"
	"time"

	"bamboohill/core/gauger"
	"bamboohill/wire"
)

// maxSpeeds bounds the speeds in one datagram; each takes about 12 B.
const maxSpeeds = 24

// Speeds is the Knowledge of the speed of backend servers that deviate.
type Speeds struct{ Gauger *gauger.Gauger }

// Encode implements Knowledge.
func (s Speeds) Encode(o *wire.Outstanding, now time.Time) {
	for _, v := range s.Gauger.Own(maxSpeeds, now) {
		o.Speeds = append(o.Speeds, &wire.ServerSpeed{
			Server: v.Run, SlowdownTenths: uint32(math.Round(tenths * v.Slowdown)), SamplesTenths: uint32(tenths * v.Samples),
		})
	}
}

// Apply implements Knowledge.
func (s Speeds) Apply(o *wire.Outstanding, now time.Time) {
	var all []gauger.Speed
	for _, v := range o.GetSpeeds() {
		all = append(all, gauger.Speed{Run: v.GetServer(), Slowdown: float64(v.GetSlowdownTenths()) / tenths, Samples: float64(v.GetSamplesTenths()) / tenths})
	}
	s.Gauger.ApplyPeer(o.GetEntry(), all, now)
}
