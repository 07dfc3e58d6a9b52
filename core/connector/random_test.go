package connector_test

import (
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bamboohill/core/connector"
	"bamboohill/core/scripter"
)

// Seeds of TestRandomEndings.
var (
	firstSeed = flag.Uint64("ending.first", 1, "first seed of random endings")
	seedCount = flag.Uint64("ending.seeds", 4, "number of seeds of random endings")
)

// exchangePlan is one exchange of a seed.
type exchangePlan struct {
	framing string
	body    string
	ending  scripter.Ending
	delay   time.Duration // until the ending
	upload  int           // bytes of the request's body
	pause   time.Duration // before the body of the answer is read
}

// framings are the ways in which the end of a body is marked, with the number of bytes in the
// place of %d and the body in that of %s.
var framings = map[string]string{
	"none":   "HTTP/1.1 200 OK\r\nId: mine\r\n\r\n%[2]s",
	"length": "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: %[1]d\r\n\r\n%[2]s",
	"chunks": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n%[1]x\r\n%[2]s\r\n0\r\n\r\n",
}

// newPlan draws an exchange. Uploads are between 1 KiB and 8 MiB, bodies of answers between 1
// byte and 100 KB.
func newPlan(r *rand.Rand) exchangePlan {
	kinds := []string{"none", "none", "length", "chunks"}
	endings := []scripter.Ending{scripter.ReadThenClose, scripter.Reset, scripter.CloseUnread, scripter.HalfClose, scripter.HalfCloseUnread, scripter.KeepUnread}
	p := exchangePlan{
		framing: kinds[r.IntN(len(kinds))],
		body:    string(make([]byte, int(math.Pow(10, 5*r.Float64())))),
		ending:  endings[r.IntN(len(endings))],
		delay:   time.Duration(r.IntN(4000)) * time.Microsecond,
		upload:  1 << 10 << r.IntN(14),
		pause:   time.Duration(r.IntN(2)*r.IntN(8000)) * time.Microsecond,
	}
	if p.framing == "none" && p.ending == scripter.KeepUnread {
		p.ending = scripter.HalfCloseUnread // it has no end otherwise
	}
	if p.ending == scripter.CloseUnread && p.upload < connector.AsyncWriteBytes {
		p.ending = scripter.Reset // the stand-in has read the whole request with its head
	}
	return p
}

// isWhole reports whether the answer is whole: it has a marked end, or the server ends its
// direction.
func (p exchangePlan) isWhole() bool {
	return p.framing != "none" || p.ending != scripter.Reset && p.ending != scripter.CloseUnread
}

// run makes the exchange. It returns a description of what is wrong, or "".
func (p exchangePlan) run(t *testing.T, c *connector.Connector) string {
	t.Helper()
	s, err := scripter.Start(scripter.Config{
		Answer: scripter.Fixed(fmt.Sprintf(framings[p.framing], len(p.body), p.body)), Ending: p.ending, Delay: p.delay,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	r := request()
	r.Body = make([]byte, p.upload)
	a, err := c.Send(t.Context(), s.Address(), r)
	var text []byte
	if err == nil {
		defer a.Close()
		time.Sleep(p.pause)
		text, err = io.ReadAll(a)
	}
	switch {
	case (err == nil) != p.isWhole():
		return fmt.Sprintf("error %v, want whole %v", err, p.isWhole())
	case err == nil && string(text) != p.body:
		return fmt.Sprintf("%d bytes of %d", len(text), len(p.body))
	}
	return ""
}

// TestRandomEndings makes exchanges whose answers, uploads and endings are drawn at random, some
// at once.
func TestRandomEndings(t *testing.T) {
	const workers, exchanges = 8, 40
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			c := connector.New(connector.Config{})
			var wait sync.WaitGroup
			for w := range uint64(workers) {
				random := rand.New(rand.NewPCG(seed, w))
				wait.Go(func() {
					for range exchanges {
						p := newPlan(random)
						if wrong := p.run(t, c); wrong != "" {
							t.Errorf("%s, %d bytes, ending %d after %v, upload of %d, read after %v: %s", p.framing, len(p.body), p.ending, p.delay, p.upload, p.pause, wrong)
						}
					}
				})
			}
			wait.Wait()
		})
	}
}
