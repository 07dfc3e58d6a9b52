package exchanger_test

import (
	"testing"
	"time"

	"bamboohill/core/gauger"
	"bamboohill/entry/internal/exchanger"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestSpeeds checks that an entry learns from another one which server is slow, and that
// nothing is told of servers that are alike.
func TestSpeeds(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	const pass = 40 * time.Millisecond
	from, to := gauger.New(), gauger.New()
	slow := gauger.Run{Server: "a", StartMillis: 1}
	record := func(factor time.Duration, end time.Time) {
		for at := now; at.Before(end); at = at.Add(pass) {
			from.RecordPass("s", slow, factor*pass, pass, at)
			from.RecordPass("s", gauger.Run{Server: "b"}, pass, pass, at)
			from.RecordPass("s", gauger.Run{Server: "c"}, pass, pass, at)
		}
		now = end
	}
	tell := func() int {
		var o wire.Outstanding
		exchanger.Speeds{Gauger: from}.Encode(&o, now)
		exchanger.Speeds{Gauger: to}.Apply(&o, now)
		return proto.Size(&o)
	}
	record(1, now.Add(time.Second))
	is.Equal(tell(), 0)
	is.Equal(to.Slowdown(slow, now), 1.0)
	record(3, now.Add(time.Second))
	is.True(tell() < 16)
	now = now.Add(pass)
	is.Equal(to.Slowdown(slow, now.Add(100*time.Millisecond)), 3.0)
	record(1, now.Add(time.Second))
	is.Equal(tell(), 0)
	is.Equal(to.Slowdown(slow, now.Add(100*time.Millisecond)), 1.0)
}
