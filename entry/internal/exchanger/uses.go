package exchanger

import (
	"math"
	"time"

	"bamboohill/core/sharer"
	"bamboohill/wire"
)

// maxUse is the largest sum of one account that is accepted from another entry, in seconds
// of a backend server.
const maxUse = 1e6

// Uses is the Knowledge of what accounts have recently asked for and got.
type Uses struct{ Sharer *sharer.Sharer }

// Encode implements Knowledge.
func (u Uses) Encode(o *wire.Outstanding, now time.Time) {
	for _, w := range u.Sharer.Own(now) {
		o.Uses = append(o.Uses, &wire.AccountUse{
			Service: uint32(w.Service), Account: uint32(w.Account), Use: float32(w.Placed), Demand: float32(w.Demand), Short: w.Short,
		})
	}
}

// Apply implements Knowledge. It ignores sums that are not finite or negative.
func (u Uses) Apply(o *wire.Outstanding, now time.Time) {
	uses := make([]sharer.Use, 0, len(o.GetUses()))
	for _, w := range o.GetUses() {
		if !isSum(w.GetUse()) || !isSum(w.GetDemand()) {
			continue
		}
		uses = append(uses, sharer.Use{
			Service: sharer.Hash(w.GetService()), Account: sharer.Hash(w.GetAccount()),
			Placed: float64(w.GetUse()), Demand: float64(w.GetDemand()), Short: w.GetShort(),
		})
	}
	u.Sharer.ApplyPeer(o.GetEntry(), uses, now)
}

func isSum(x float32) bool { return x >= 0 && x <= maxUse && !math.IsNaN(float64(x)) }
