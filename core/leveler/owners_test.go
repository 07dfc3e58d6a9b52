package leveler_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bamboohill/core/leveler"
)

// room simulates entries that send calls to three plain servers of plainSlots slots each,
// under one of two schemes, and counts what becomes of the calls.
type room struct {
	owners  bool          // slots are granted by one entry for each server; else servers are drawn, as Choose does
	delay   time.Duration // until an entry learns of the calls of others
	hop     time.Duration // one way between an entry and an owner
	rate    float64       // calls per second
	dead    int           // server that is gone from the middle of the run on; -1 for none
	deadFor time.Duration // until entries and owners know it

	random *rand.Rand
	calls  []call
	held   []int // slots that owners take for used
	queue  []*pending
	ends   map[time.Duration][]int // servers whose owners hear of an end then

	outcome outcome
}

// pending is a call that has not been sent with success yet.
type pending struct {
	entry, server int
	arrived       time.Duration
	due           time.Duration // when it is handled next
	granted       bool          // due is when it reaches its server
	tried         []int
}

// outcome counts calls.
type outcome struct {
	total, inTime, refused, repeats float64
}

const (
	roomEntries  = 26
	roomStep     = time.Millisecond
	roomWork     = 30 * time.Millisecond // median
	roomTarget   = 200 * time.Millisecond
	roomPatience = 60 * time.Millisecond // 0.3 of the target
	roomLength   = 12 * time.Second
)

func (m *room) run() outcome {
	m.held, m.ends = make([]int, 3), map[time.Duration][]int{}
	for now := time.Duration(0); now < roomLength; now += roomStep {
		m.calls = slices.DeleteFunc(m.calls, func(c call) bool { return now >= c.ends+m.delay })
		for _, s := range m.ends[now] {
			m.held[s]--
		}
		delete(m.ends, now)
		if m.random.Float64() < m.rate*roomStep.Seconds() {
			m.outcome.total++
			m.queue = append(m.queue, &pending{entry: m.random.IntN(roomEntries), server: -1, arrived: now, due: now})
		}
		waiting := m.queue
		m.queue = nil
		for _, p := range waiting {
			if now < p.due || !m.handle(p, now) {
				m.queue = append(m.queue, p)
			}
		}
	}
	return m.outcome
}

// handle reports whether a call has reached a server or is refused.
func (m *room) handle(p *pending, now time.Duration) bool {
	if m.owners && !p.granted && now-p.arrived >= roomPatience {
		m.outcome.refused++
		return true
	}
	if !p.granted && !m.place(p, now) {
		return false
	}
	_, running := look(m.calls, make([]float64, 3), p.entry, m.delay, now)
	gone := p.server == m.dead && now > roomLength/2
	if running[p.server] < plainSlots && !gone {
		end := now + time.Duration(roomWork.Seconds()*math.Exp(0.5*m.random.NormFloat64())*float64(time.Second)).Round(roomStep)
		m.calls = append(m.calls, call{entry: p.entry, server: p.server, sent: now, ends: end})
		m.release(p.server, end+m.hop)
		if end-p.arrived <= roomTarget {
			m.outcome.inTime++
		}
		return true
	}
	m.release(p.server, now+m.hop+roomStep)
	p.tried = append(p.tried, p.server)
	if len(p.tried) > 2 || len(m.servers(p, now)) == 0 || m.outcome.repeats+1 > 0.8*(0.2*m.outcome.total+10) {
		m.outcome.refused++
		return true
	}
	m.outcome.repeats++
	p.granted, p.due = false, now+roomStep
	return false
}

// release lets the owner of a server hear then that a slot is free.
func (m *room) release(server int, at time.Duration) {
	if m.owners {
		m.ends[at] = append(m.ends[at], server)
	}
}

// place chooses the server of a call, and reports whether it is sent now.
func (m *room) place(p *pending, now time.Duration) bool {
	known, _ := look(m.calls, make([]float64, 3), p.entry, m.delay, now)
	var all []leveler.Candidate
	order := m.servers(p, now)
	full := true
	for _, s := range order {
		all = append(all, known[s])
		full = full && known[s].Running >= plainSlots
	}
	if m.owners {
		free := slices.DeleteFunc(slices.Clone(order), func(s int) bool { return m.held[s] >= plainSlots })
		if len(free) == 0 {
			p.due = now + roomStep // waits at the owners
			return false
		}
		p.server = slices.MinFunc(free, func(a, b int) int { return m.held[a] - m.held[b] })
		m.held[p.server]++
		p.granted, p.due = true, now+m.hop
		if now == p.arrived {
			p.due += m.hop // the request to the owner, which else came earlier
		}
		return false
	}
	if full && now-p.arrived < roomPatience && len(p.tried) == 0 {
		p.due = now + roomStep
		return false
	}
	p.server = order[leveler.Choose(all, leveler.Staleness{Delay: m.delay, Work: roomWork}, m.random.Float64)]
	return true
}

// servers returns the servers that may get a call, in random order.
func (m *room) servers(p *pending, now time.Duration) []int {
	return slices.DeleteFunc(m.random.Perm(len(m.held)), func(s int) bool {
		return slices.Contains(p.tried, s) || s == m.dead && now > roomLength/2+m.deadFor
	})
}

// TestRoomByOwners compares slots granted by owners with drawing. Owners are simulated at their
// best: as one queue for all servers that is never lost. They serve more calls in time while a
// message takes a small part of a call's work, and fewer where it takes most of it, as each
// slot then idles for two messages. See docs/design/waiting.md.
func TestRoomByOwners(t *testing.T) {
	const tolerance = 0.02
	tests := map[string]struct {
		load float64 // share of the slots
		dead int
	}{
		"load 0.6":                {0.6, -1},
		"load 0.8":                {0.8, -1},
		"load 0.6, a server gone": {0.6, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			served := func(m room) float64 {
				m.delay, m.rate, m.dead, m.deadFor = 45*time.Millisecond, test.load*3*plainSlots/0.034, test.dead, 100*time.Millisecond
				m.random = rand.New(rand.NewPCG(1, 3))
				o := m.run()
				t.Logf("owners %t, hop %v: in time %.3f, refused %.3f, repeats %.3f", m.owners, m.hop, o.inTime/o.total, o.refused/o.total, o.repeats/o.total)
				return o.inTime / o.total
			}
			drawn := served(room{})
			if near := served(room{owners: true, hop: 2 * time.Millisecond}); near < drawn-tolerance {
				t.Errorf("owners near: %.3f, drawn %.3f", near, drawn)
			}
			if far := served(room{owners: true, hop: 20 * time.Millisecond}); far > drawn+tolerance {
				t.Errorf("owners far: %.3f, drawn %.3f", far, drawn)
			}
		})
	}
}
