package doubter_test

import (
	"testing"
	"time"

	"bamboohill/core/doubter"

	"github.com/matryer/is"
)

func TestDoubts(t *testing.T) {
	is := is.New(t)
	d := doubter.New()
	now := time.Unix(1_000, 0)
	is.True(!d.Doubted("a", now))
	first := d.Fail("a", now)
	is.True(d.Doubted("a", now))
	is.True(!d.Doubted("b", now))
	is.Equal(d.Fail("a", now), first) // ten requests on one connection fail once
	is.True(!d.Doubted("a", now.Add(first)))
	now = now.Add(first)
	second := d.Fail("a", now)
	is.Equal(second, 2*first)
	for range 20 {
		now = now.Add(d.Fail("a", now))
	}
	is.Equal(d.Fail("a", now), 3*time.Second) // and no longer
	d.Hear("a", now)
	is.True(!d.Doubted("a", now))
	is.Equal(d.Fail("a", now), first)
}

func TestHeard(t *testing.T) {
	is := is.New(t)
	d := doubter.New()
	now := time.Unix(1_000, 0)
	is.True(!d.HeardSince("a", now.Add(-time.Hour)))
	d.Hear("a", now)
	is.True(d.HeardSince("a", now.Add(-time.Millisecond)))
	is.True(!d.HeardSince("a", now))
	d.Expire(now.Add(time.Minute))
	is.True(!d.HeardSince("a", now.Add(-time.Hour)))
}
