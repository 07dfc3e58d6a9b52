package sharer

import (
	"time"

	"bamboohill/core/viewer"
)

// Standing classifies what an account has got of a service, relative to its share.
type Standing int

// Standings, in the order in which waiting requests of accounts are served while room is
// short. They are coarse, so that accounts of about the same use are served in the order
// of their requests.
const (
	FarBelow Standing = iota // up to a quarter of the share, or room is not short
	Below                    // up to half of it
	Within                   // up to the share, and a margin for sums that are late
	Beyond                   // more
)

// Upper bounds of standings, in shares. What an account gets while the sums of other
// entries are on the way is within the margin of maxWithin.
const (
	maxFarBelow = 0.25
	maxBelow    = 0.5
	maxWithin   = 1.1
)

// Standing returns the standing of an account at a service. While room is not short it is
// FarBelow for all accounts, whatever they use.
func (s *Sharer) Standing(name viewer.ServiceName, accountName string, now time.Time) Standing {
	share := s.Share(name, accountName, now)
	switch {
	case share <= maxFarBelow:
		return FarBelow
	case share <= maxBelow:
		return Below
	case share <= maxWithin:
		return Within
	}
	return Beyond
}
