// Package planner lays out the requests of an open-loop run: when each arrives,
// what it asks and of which entry. The same settings and seed give the same
// requests, whatever becomes of them.
//
// # Usage
//
//	p := planner.New(planner.Config{Settings: s})
//	for {
//		r, more := p.Next()
//		...
//		body := p.Prompt(r)
//	}
package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bamboohill/load/internal/settings"
	"bamboohill/standin/modelserver"
)

// Kind tells what a request asks for.
type Kind int

// Kinds of requests.
const (
	Prompt Kind = iota
	Booking
)

// Again says how a booking is sent a second time under its key.
type Again int

// Ways to send a booking again.
const (
	Once   Again = iota
	After        // when the first call has ended
	Beside       // at the same moment, through another entry
)

// Class is a class of prompt lengths.
type Class string

// Classes of requests; prompts are told apart by their length in tokens.
const (
	Short   Class = "short"  // below 10,000
	Middle  Class = "middle" // up to settings.Border
	Long    Class = "long"
	Booked  Class = "booking"
	shortTo       = 10_000
)

// Request is one planned request.
type Request struct {
	Serial  int
	At      time.Duration // after the start of the run
	Kind    Kind
	Entry   int // index in Settings.Entries
	Account int // index in Settings.Accounts
	Tokens  int64
	Answer  int64 // tokens
	Stream  bool
	Chat    bool
	Shared  bool // starts like other prompts of the account
	Key     string
	Again   Again
}

// Class returns the class that the request is counted in.
func (r Request) Class() Class {
	switch {
	case r.Kind == Booking:
		return Booked
	case r.Tokens < shortTo:
		return Short
	case r.Tokens <= settings.Border:
		return Middle
	}
	return Long
}

// Config describes a Planner.
type Config struct {
	Settings settings.Settings
}

// Planner lays out requests. It is not safe for concurrent use, but Prompt is.
type Planner struct {
	set     settings.Settings
	random  *rand.Rand
	archive []byte
	weight  float64
	at      time.Duration
	serial  int
}

// stream is the second word of the generator's seed.
const stream = 0x62616d62

// New returns a planner for checked settings.
func New(config Config) *Planner {
	set := config.Settings
	p := &Planner{set: set, random: rand.New(rand.NewPCG(set.Seed, stream)), archive: archive(set)}
	for _, a := range set.Accounts {
		p.weight += weight(a)
	}
	return p
}

// archive is the text that prompts are cut from. It needs no escapes in JSON.
func archive(set settings.Settings) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz .0123"
	random := rand.New(rand.NewPCG(set.Seed, stream+1))
	text := make([]byte, set.Longest*modelserver.TokenBytes)
	for i := range text {
		text[i] = letters[random.Uint32()%uint32(len(letters))]
	}
	return text
}

func weight(a settings.Account) float64 {
	if a.Weight == 0 {
		return 1
	}
	return a.Weight
}

// Next returns the next request, or false when the run's time is over.
func (p *Planner) Next() (Request, bool) {
	p.at += time.Duration(p.random.ExpFloat64() / p.set.Rate * float64(time.Second))
	if p.at.Seconds() >= p.set.Seconds {
		return Request{}, false
	}
	p.serial++
	r := Request{
		Serial: p.serial, At: p.at, Entry: p.random.IntN(len(p.set.Entries)), Account: p.account(),
		Answer: p.set.Answer, Key: fmt.Sprintf("load-%d-%d", p.set.Seed, p.serial),
	}
	if p.random.Float64() < p.set.Bookings {
		r.Kind = Booking
		if p.random.Float64() < p.set.Resend {
			r.Again = After + Again(p.random.IntN(2))
		}
		return r, true
	}
	r.Tokens = p.tokens()
	r.Stream = p.random.Float64() >= p.set.Whole
	r.Chat = p.random.Float64() < p.set.Chat
	r.Shared = p.random.Float64() < p.set.Shared
	return r, true
}

func (p *Planner) account() int {
	x := p.random.Float64() * p.weight
	for i, a := range p.set.Accounts {
		if x -= weight(a); x < 0 {
			return i
		}
	}
	return len(p.set.Accounts) - 1
}

// tokens draws a length: most are short, and the share Long of them lies above
// settings.Border.
func (p *Planner) tokens() int64 {
	share, u := p.random.Float64(), p.random.Float64()
	low, high := float64(p.set.Shortest), float64(min(p.set.Longest, settings.Border))
	if share < p.set.Long && p.set.Longest > settings.Border {
		return int64(settings.Border * math.Pow(float64(p.set.Longest)/settings.Border, u))
	}
	return int64(low * math.Pow(high/low, u*u))
}

// Prompt returns the text of a prompt of r.Tokens tokens. Prompts of one
// account that are shared differ only in their last 64 bytes; others differ
// from the first byte on.
func (p *Planner) Prompt(r Request) []byte {
	text := make([]byte, r.Tokens*modelserver.TokenBytes)
	copy(text, p.archive)
	copy(text, fmt.Sprintf("account %8d ", r.Account))
	mark := fmt.Sprintf("request %8d of run %16x ", r.Serial, p.set.Seed)
	if r.Shared {
		copy(text[len(text)-uniqueBytes:], mark)
	} else {
		copy(text, mark)
	}
	return text
}

// uniqueBytes is the length of the part that makes a prompt unique.
const uniqueBytes = 64
