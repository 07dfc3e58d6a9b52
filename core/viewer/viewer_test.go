package viewer_test

import (
	"testing"
	"time"

	"bamboohill/core/predictor"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

func TestRoute(t *testing.T) {
	c := viewer.NewConfiguration([]*viewer.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil)
	tests := map[string]struct {
		host, path, want string
	}{
		"longest prefix":     {host: "a.example", path: "/x/y/z", want: "deep"},
		"prefix itself":      {host: "a.example", path: "/x/y/", want: "deep"},
		"prefix less slash":  {host: "a.example", path: "/x/y", want: "all"},
		"shorter prefix":     {host: "a.example", path: "/x/z", want: "all"},
		"port and case":      {host: "A.example:80", path: "/", want: "all"},
		"host without route": {host: "c.example", path: "/x/", want: ""},
		"path without route": {host: "b.example", path: "/y/", want: ""},
		"path that is empty": {host: "a.example", path: "", want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, found := c.Route(test.host, test.path)
			is.Equal(found, test.want != "")
			if found {
				is.Equal(r.Name, test.want)
			}
		})
	}
}

func TestNeedsKey(t *testing.T) {
	is := is.New(t)
	open, public := &viewer.Route{}, &viewer.Route{Public: true}
	none := viewer.NewConfiguration(nil, nil)
	is.True(!none.NeedsKey(open)) // no accounts at all
	empty := viewer.NewConfiguration(nil, map[string]*viewer.Account{})
	is.True(empty.NeedsKey(open)) // accounts, but all keys revoked
	is.True(!empty.NeedsKey(public))
}

// TestConfigurationOrder guards against a configuration that replaces a newer one
// because the two arrive out of order.
func TestConfigurationOrder(t *testing.T) {
	is := is.New(t)
	v := viewer.New()
	is.True(!v.Load().Ready())
	newer, older := viewer.NewConfiguration(nil, nil), viewer.NewConfiguration(nil, nil)
	newer.Revision, older.Revision = 7, 6
	is.True(v.SetConfiguration(newer))
	is.True(!v.SetConfiguration(older))
	is.Equal(v.Load().Configuration.Revision, int64(7))
	is.True(!v.Load().Ready()) // the servers are not known yet
	v.SetServers(nil)
	is.True(v.Load().Ready())
}

func TestServersOf(t *testing.T) {
	is := is.New(t)
	v := viewer.New()
	v.SetServers(map[viewer.ServerID]*viewer.Server{
		"right":    {ID: "right", Service: "s", Domain: "in"},
		"draining": {ID: "draining", Service: "s", Domain: "in", Draining: true},
		"out":      {ID: "out", Service: "s", Domain: "out"},
		"other":    {ID: "other", Service: "o", Domain: "in"},
	})
	v.SetOutOfService(map[viewer.Domain]bool{"out": true})
	found := v.Load().ServersOf("s")
	is.Equal(len(found), 1)
	is.Equal(found[0].ID, viewer.ServerID("right"))
}

func TestColdAt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	s := viewer.Server{ColdFor: 3 * time.Second, Observed: now}
	is.True(s.ColdAt(now.Add(2 * time.Second)))
	is.True(!s.ColdAt(now.Add(3 * time.Second)))
}

// TestEngines checks that engines are counted without plain servers and without those that leave.
func TestEngines(t *testing.T) {
	is := is.New(t)
	v := viewer.New()
	c := viewer.NewConfiguration(nil, nil)
	c.Services["engines"] = &viewer.Service{Name: "engines", Engine: &predictor.Engine{}}
	c.Services["plain"] = &viewer.Service{Name: "plain"}
	v.SetConfiguration(c)
	v.SetServers(map[viewer.ServerID]*viewer.Server{
		"ready":    {ID: "ready", Service: "engines"},
		"draining": {ID: "draining", Service: "engines", Draining: true},
		"plain":    {ID: "plain", Service: "plain"},
		"unknown":  {ID: "unknown", Service: "unknown"},
	})
	is.Equal(v.Load().Engines, 1)
}
