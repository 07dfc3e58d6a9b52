package chooser_test

import (
	"errors"
	"testing"
	"time"

	"bamboohill/core/admitter"
	"bamboohill/core/chooser"
	"bamboohill/core/router"
	"bamboohill/core/watcher"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// picker expects one time with a few candidates and another with all servers.
type picker struct {
	few, all time.Duration
	wide     int
}

func (p *picker) Pick(job router.Job, _ []watcher.Server, _ time.Time) (router.Choice, error) {
	if job.AllServers {
		p.wide++
		return router.Choice{FirstToken: p.all, LastToken: p.all}, nil
	}
	return router.Choice{FirstToken: p.few, LastToken: p.few}, nil
}
func (p *picker) RecordPlacement(router.Choice, time.Time) {}
func (p *picker) RecordFirstToken(router.Choice)           {}
func (p *picker) RecordEnd(router.Choice)                  {}

func TestChoose(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		few, all, left time.Duration
		kind           wire.Kind
		wide           int
		late           bool
	}{
		"in time":              {few: s, left: 2 * s, kind: wire.Kind_KIND_MODEL},
		"another is in time":   {few: 3 * s, all: s, left: 2 * s, kind: wire.Kind_KIND_MODEL, wide: 1},
		"no server is in time": {few: 4 * s, all: 3 * s, left: 2 * s, kind: wire.Kind_KIND_MODEL, wide: 1, late: true},
		"no deadline":          {few: time.Hour, kind: wire.Kind_KIND_MODEL},
		"plain service":        {few: 4 * s, left: 2 * s, kind: wire.Kind_KIND_SERVICE},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &picker{few: test.few, all: test.all}
			c := chooser.New(chooser.Config{Picker: p, Admitter: admitter.New(admitter.Config{})})
			now := time.Now()
			job := router.Job{Kind: test.kind, Prompt: 1000}
			if test.left > 0 {
				job.Deadline = now.Add(test.left)
			}
			_, err := c.Choose(job, nil, now)
			var late *admitter.LateError
			is.Equal(errors.As(err, &late), test.late)
			is.Equal(p.wide, test.wide)
		})
	}
}

func TestNoAdmitterAdmitsAll(t *testing.T) {
	is := is.New(t)
	c := chooser.New(chooser.Config{Picker: &picker{few: time.Hour}})
	now := time.Now()
	choice, err := c.Choose(router.Job{Kind: wire.Kind_KIND_MODEL, Deadline: now.Add(time.Second)}, nil, now)
	is.NoErr(err)
	c.RecordFirstToken(choice, 1000, time.Second)
	c.RecordLastToken(choice, time.Second)
	is.Equal(c.FirstTokenTime(choice, 1000), time.Hour)
}
