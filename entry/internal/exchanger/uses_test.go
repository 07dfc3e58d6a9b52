package exchanger_test

import (
	"math"
	"testing"
	"time"

	"bamboohill/core/sharer"
	"bamboohill/entry/internal/exchanger"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// TestUses checks that an entry learns of what an account got at another one, and that
// sums which no entry can have do no harm.
func TestUses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	here, there := sharer.New(), sharer.New()
	there.RecordDemand("service", "large", 4, now)
	there.RecordUse("service", "large", 4, now)
	there.RecordDemand("service", "small", 4, now)
	there.RecordShortage("service", now)
	o := &wire.Outstanding{Entry: "there"}
	exchanger.Uses{Sharer: there}.Encode(o, now)
	is.Equal(len(o.GetUses()), 2)
	for _, use := range []float32{float32(math.NaN()), float32(math.Inf(1)), -1} {
		o.Uses = append(o.Uses, &wire.AccountUse{Service: uint32(sharer.HashOf("service")), Account: uint32(sharer.HashOf("small")), Use: use})
	}
	exchanger.Uses{Sharer: here}.Apply(o, now)
	is.Equal(here.Standing("service", "large", now), sharer.Beyond)
	is.Equal(here.Standing("service", "small", now), sharer.FarBelow)
}
