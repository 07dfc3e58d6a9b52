package forwarder

import (
	"testing"
	"time"

	"bamboohill/core/queuer"
	"bamboohill/core/viewer"
)

// TestCallerLeavesAfterServiceVanished checks that a caller that leaves as its request is
// decided does no harm if the service has vanished from the configuration since, and its
// queue with it.
func TestCallerLeavesAfterServiceVanished(_ *testing.T) {
	view := viewer.New()
	view.SetConfiguration(viewer.NewConfiguration(nil, nil))
	f := New(Config{Viewer: view})
	w := &waiter{x: &exchange{forwarder: f, service: &viewer.Service{Name: "gone"}}, done: make(chan struct{})}
	w.item, _ = queuer.New[*waiter](queuer.Limits{}).Add(queuer.Request{}, w, time.Now())
	w.finish(placement{}, errNoServer)
	f.lines.remove(w)
}
