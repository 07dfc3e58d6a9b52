// Package planner generates the requests of an open-loop run: arrival time,
// content and target entry. The requests depend only on the settings and the
// seed, not on the answers.
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

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	Prompt Kind = iota
	Booking
)

// Resend is the way in which a booking is sent a second time under its key.
type Resend int

// Ways to resend a booking.
const (
	NoResend           Resend = iota
	ResendAfter               // after the first call has ended, through another entry
	ResendConcurrently        // at the same time, through another entry
)

// Class is the class in which a request is counted.
type Class string

// Classes of requests. Prompts are classified by their length in tokens.
const (
	Short        Class = "short"  // below 10,000
	Medium       Class = "middle" // up to settings.LongTokens
	Long         Class = "long"
	BookingClass Class = "booking"
	mediumTokens       = 10_000 // tokens of the shortest medium prompt
)

// Request is one planned request.
type Request struct {
	Serial  int
	Arrival time.Duration // since the start of the run
	Kind    Kind
	Entry   int    // index in Settings.Entries
	Account int    // index in Settings.Accounts
	Tokens  int64  // of a prompt
	Answer  int64  // tokens
	Stream  bool   // whether the answer is streamed
	Chat    bool   // whether the prompt is sent as chat
	Shared  bool   // has a prefix in common with other shared prompts of the account
	Key     string // idempotency key
	Resend  Resend // of a booking
}

// Class returns the class of the request.
func (r Request) Class() Class {
	switch {
	case r.Kind == Booking:
		return BookingClass
	case r.Tokens < mediumTokens:
		return Short
	case r.Tokens <= settings.LongTokens:
		return Medium
	}
	return Long
}

// Config configures a Planner.
type Config struct {
	Settings settings.Settings
}

// Planner generates requests. Only Prompt is safe for concurrent use.
type Planner struct {
	set         settings.Settings
	random      *rand.Rand
	source      []byte // text from which prompts are copied
	totalWeight float64
	at          time.Duration // arrival of the latest request
	serial      int
}

// seedStream is the second word of the random generator's seed.
const seedStream = 0x62616d62

// New returns a planner for validated settings.
func New(config Config) *Planner {
	set := config.Settings
	p := &Planner{set: set, random: rand.New(rand.NewPCG(set.Seed, seedStream)), source: sourceText(set)}
	for _, a := range set.Accounts {
		p.totalWeight += weight(a)
	}
	return p
}

// sourceText returns the text from which prompts are copied. It needs no escaping in JSON.
func sourceText(set settings.Settings) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz .0123"
	random := rand.New(rand.NewPCG(set.Seed, seedStream+1))
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

// Next returns the next request, or false at the end of the run.
func (p *Planner) Next() (Request, bool) {
	p.at += time.Duration(p.random.ExpFloat64() / p.set.Rate * float64(time.Second))
	if p.at.Seconds() >= p.set.Seconds {
		return Request{}, false
	}
	p.serial++
	r := Request{
		Serial: p.serial, Arrival: p.at, Entry: p.random.IntN(len(p.set.Entries)), Account: p.account(),
		Answer: p.set.Answer, Key: fmt.Sprintf("load-%d-%d", p.set.Seed, p.serial),
	}
	if p.random.Float64() < p.set.Bookings {
		r.Kind = Booking
		if p.random.Float64() < p.set.Resend {
			r.Resend = ResendAfter + Resend(p.random.IntN(2))
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
	x := p.random.Float64() * p.totalWeight
	for i, a := range p.set.Accounts {
		if x -= weight(a); x < 0 {
			return i
		}
	}
	return len(p.set.Accounts) - 1
}

// tokens draws a prompt length. Most prompts are short; the share Settings.Long
// has more than settings.LongTokens tokens.
func (p *Planner) tokens() int64 {
	share, u := p.random.Float64(), p.random.Float64()
	low, high := float64(p.set.Shortest), float64(min(p.set.Longest, settings.LongTokens))
	if share < p.set.Long && p.set.Longest > settings.LongTokens {
		return int64(settings.LongTokens * math.Pow(float64(p.set.Longest)/settings.LongTokens, u))
	}
	return int64(low * math.Pow(high/low, u*u))
}

// Prompt returns the text of a prompt of r.Tokens tokens. Shared prompts of one
// account differ only in their last 64 bytes; other prompts have a unique first
// part.
func (p *Planner) Prompt(r Request) []byte {
	text := make([]byte, r.Tokens*modelserver.TokenBytes)
	copy(text, p.source)
	copy(text, fmt.Sprintf("account %8d ", r.Account))
	unique := fmt.Sprintf("request %8d of run %16x ", r.Serial, p.set.Seed)
	if r.Shared {
		copy(text[len(text)-uniqueBytes:], unique)
	} else {
		copy(text, unique)
	}
	return text
}

// uniqueBytes is the length of the part of a shared prompt that makes it unique.
const uniqueBytes = 64
