package screener_test

import (
	"fmt"
	"testing"
	"time"

	"bamboohill/core/quarantiner"
	"bamboohill/core/screener"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// TestPartsAlike guards against a sound part that is refused for long as it has been in all
// prompts with the part that crashes servers, and in no others yet: an account begins its
// prompts with a new part, and the first ones are about a document that crashes servers.
func TestPartsAlike(t *testing.T) {
	tests := map[string][]time.Duration{
		"one by one":            {0, 300 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond, 1200 * time.Millisecond},
		"in a quarter second":   {0, 30 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond, 250 * time.Millisecond, 250 * time.Millisecond},
		"in two large episodes": {0, 0, 0, 0, 0, 0, 200 * time.Millisecond, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for name, crashes := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newAlikePlay()
			for range 50 {
				p.screener.Served([]string{"older"}, p.now)
			}
			from := p.now.Add(10 * time.Second)
			for _, after := range crashes {
				p.now = from.Add(after)
				p.crash(false)
			}
			asked, begun, late := p.play(from.Add(crashes[4]))
			t.Logf("%d of %d sound prompts began, %d late sends", begun, asked, late)
			is.True(2*begun >= asked)
			is.True(late <= 3)
		})
	}
}

// alikePlay is a process and the servers that it sends prompts to.
type alikePlay struct {
	screener *screener.Screener
	now      time.Time
	servers  int // that have crashed
}

func newAlikePlay() *alikePlay {
	p := &alikePlay{now: time.Unix(1000, 0)}
	p.screener = screener.New(screener.Config{Now: func() time.Time { return p.now }, Quarantiner: quarantiner.Config{TrialInterval: 10 * time.Second}})
	return p
}

// play sends a prompt with both parts each 2 s, and five sound ones a second from a second after
// the fifth crash on. It returns how many sound ones were to begin, how many did, and how many of
// the others were sent though the fifth crash was known.
func (p *alikePlay) play(fifth time.Time) (asked, begun, late int) {
	const contactTime, played = 3 * time.Second, 35 * time.Second // contactMs of the users' platform
	for tick := 1; p.now.Before(fifth.Add(played)); tick++ {
		p.now = p.now.Add(200 * time.Millisecond)
		if tick%10 == 0 && p.sends("new", "bad") && p.now.After(fifth.Add(contactTime)) {
			late++
		}
		sent := !p.now.Before(fifth.Add(time.Second)) && p.sends("new", fmt.Sprint("document ", tick%20))
		if p.now.Before(fifth.Add(2 * contactTime)) {
			continue
		}
		asked++
		if sent {
			begun++
		}
	}
	return asked, begun, late
}

// crash lets a server crash under a prompt with both parts, in a trial or not.
func (p *alikePlay) crash(trial bool) {
	p.servers++
	p.screener.Accuse(&wire.Accusation{
		Fingerprint: fmt.Sprint("prompt ", p.servers), Server: fmt.Sprint("i-", p.servers), Parts: []string{"new", "bad"}, Trial: trial,
	})
}

// sends reports whether a prompt with two parts is sent, and lets it crash a server or be
// served.
func (p *alikePlay) sends(first, second string) bool {
	d, _ := p.screener.AdmitAny([]string{"another prompt", screener.PartFingerprint(first), screener.PartFingerprint(second)})
	switch {
	case d.Mode == quarantiner.Blocked:
		return false
	case second == "bad":
		p.crash(d.Mode == quarantiner.Trial)
	default:
		p.screener.Served([]string{first, second}, p.now)
	}
	return true
}
