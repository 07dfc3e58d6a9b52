// Package comparer measures the time to first token that an entry adds: in one
// run, it sends similar prompts through an entry and directly to a model engine.
//
// # Usage
//
//	compare := comparer.New(comparer.Config{Caller: c, Planner: p, Engine: "127.0.0.1:9000", Rate: 200, Seconds: 10})
//	direct, through := compare.Run(ctx)
//	answered, failed := compare.Saturate(ctx, 32, 5*time.Second)
package comparer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/generator"
	"bamboohill/load/internal/caller"
	"bamboohill/load/internal/planner"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// seedStream is the second word of the random generator's seed.
const seedStream = 0x6f766572

// Config configures a Comparer.
type Config struct {
	Caller  *caller.Caller   // sends through an entry
	Planner *planner.Planner // of the prompts
	Engine  string           // address of the model engine, IP:PORT
	Model   string           // of the prompts
	Tokens  int64            // of a prompt
	Answer  int64            // tokens
	Rate    float64          // requests per second, over both paths
	Seconds float64          // duration of the arrivals
	Seed    uint64           // random seed of the arrivals and paths
}

// PathResult holds the measurements of one path.
type PathResult struct {
	FirstToken *hdrhistogram.Histogram // microseconds
	Failed     int                     // requests without a complete answer, not in FirstToken
	mu         sync.Mutex
}

func (p *PathResult) add(first time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.Failed++
		return
	}
	p.FirstToken.RecordValue(first.Microseconds())
}

// Comparer compares the two paths.
type Comparer struct {
	config Config
	engine *generator.Engine
	serial atomic.Int64
}

// New returns a comparer.
func New(config Config) *Comparer {
	return &Comparer{config: config, engine: generator.New(generator.Config{Address: config.Engine})}
}

func (c *Comparer) request() planner.Request {
	return planner.Request{Serial: int(c.serial.Add(1)), Tokens: c.config.Tokens, Answer: c.config.Answer, Stream: true}
}

// Run sends open-loop load, each request over a randomly chosen path, and
// returns the results of both paths.
func (c *Comparer) Run(ctx context.Context) (direct, through *PathResult) {
	direct = &PathResult{FirstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	through = &PathResult{FirstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
	random := rand.New(rand.NewPCG(c.config.Seed, seedStream))
	var all sync.WaitGroup
	defer all.Wait()
	start := time.Now()
	var at time.Duration
	for ctx.Err() == nil {
		at += time.Duration(random.ExpFloat64() / c.config.Rate * float64(time.Second))
		if at.Seconds() > c.config.Seconds {
			break
		}
		time.Sleep(at - time.Since(start))
		if random.IntN(2) == 0 {
			all.Go(func() { direct.add(c.direct(ctx)) })
		} else {
			all.Go(func() { through.add(c.through(ctx)) })
		}
	}
	all.Wait()
	return direct, through
}

func (c *Comparer) through(ctx context.Context) (time.Duration, bool) {
	r := c.config.Caller.Do(ctx, c.request())
	return r.FirstToken, r.Outcome == caller.Answered
}

func (c *Comparer) direct(ctx context.Context) (time.Duration, bool) {
	r := c.request()
	prompt := c.config.Planner.Prompt(r)
	start := time.Now()
	s, err := c.engine.Generate(ctx, generator.Job{
		ID: "direct-" + strconv.Itoa(r.Serial), Model: c.config.Model, Prompt: prompt, MaxTokens: r.Answer,
	})
	if err != nil {
		return 0, false
	}
	defer s.Close()
	var first time.Duration
	for {
		chunk, err := s.Next()
		if err != nil {
			return 0, false
		}
		if first == 0 {
			first = time.Since(start)
		}
		if chunk.End {
			return first, true
		}
	}
}

// Saturate sends closed-loop load through the entry: each worker sends its next
// request when the previous one has ended. It returns the numbers of requests
// that were answered and that failed; requests cut off at the end of length are
// not counted.
func (c *Comparer) Saturate(ctx context.Context, workers int, length time.Duration) (answered, failed int64) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var good, bad atomic.Int64
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for ctx.Err() == nil {
				if _, ok := c.through(ctx); ok {
					good.Add(1)
				} else if ctx.Err() == nil {
					bad.Add(1)
				}
			}
		})
	}
	all.Wait()
	return good.Load(), bad.Load()
}
