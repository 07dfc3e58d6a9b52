package forwarder_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSameAttemptID sends requests with one attempt id at a time, as a caller must not: the loads
// of each are counted and removed, and both are answered.
func TestSameAttemptID(t *testing.T) {
	is := is.New(t)
	const requests = 3
	b := newBench(t, 2, 0)
	for _, s := range b.servers {
		s.Slow(20 * time.Millisecond)
	}
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			answer, err := http.DefaultClient.Do(b.request("POST", "/chat/x", "body"))
			if err != nil {
				t.Error(err)
				return
			}
			defer answer.Body.Close()
			_, err = io.Copy(io.Discard, answer.Body)
			is.NoErr(err)
			is.Equal(answer.StatusCode, http.StatusOK)
		})
	}
	ended := make(chan struct{})
	go func() { all.Wait(); close(ended) }()
	most := 0
	for running := true; running; {
		sum := 0
		for _, l := range b.loads.OwnLoads(time.Now()) {
			sum += l.Running
		}
		most = max(most, sum)
		select {
		case <-ended:
			running = false
		case <-time.After(time.Millisecond):
		}
	}
	is.Equal(most, requests)
	is.Equal(len(b.loads.OwnLoads(time.Now())), 0)
}
