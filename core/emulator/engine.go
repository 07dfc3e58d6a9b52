package emulator

import "time"

// task is a job in progress.
type task struct {
	Job
	pendingParts int // parts whose prefill is not complete
	memoryTokens int // tokens held by the engine that decodes
	sentEvents   int
}

// part is the part of a prompt that one engine prefills.
type part struct {
	task      *task
	remaining time.Duration // prefill time
	rate      float64       // tokens per second of prefill
}

// engine is one model engine.
type engine struct {
	emulator      *Emulator
	index         int
	queue         []*task // not yet admitted
	splitParts    []*part // parts of split prompts, the newest last
	wholePrompts  []*part // prompts that are not split, the oldest first
	decoding      []*task
	running       int
	contextTokens int
	passRunning   bool
}

// admit takes requests from the queue while slots and memory are free.
func (g *engine) admit() {
	c := &g.emulator.config.Engine
	for len(g.queue) > 0 && g.running < c.Slots && g.contextTokens+g.queue[0].memoryTokens <= c.Capacity {
		t := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.contextTokens += t.memoryTokens
		parts := 1 + len(t.Helpers)
		total := c.PrefillTime(t.Tokens)
		newPart := func() *part {
			return &part{task: t, remaining: total / time.Duration(parts), rate: float64(t.Tokens) / max(1e-9, total.Seconds())}
		}
		if len(t.Helpers) == 0 {
			g.wholePrompts = append(g.wholePrompts, newPart())
		} else {
			g.splitParts = append(g.splitParts, newPart())
		}
		for _, h := range t.Helpers {
			helper := g.emulator.engines[h]
			helper.splitParts = append(helper.splitParts, newPart())
			helper.startPass()
		}
	}
	g.startPass()
}

// startPass starts a pass if there is work and no pass is running.
func (g *engine) startPass() {
	if g.passRunning || len(g.decoding) == 0 && len(g.splitParts) == 0 && len(g.wholePrompts) == 0 {
		return
	}
	g.passRunning = true
	c := &g.emulator.config.Engine
	steps := 1
	length := c.StepTime
	if len(g.decoding) > 0 {
		steps = max(1, c.StepsPerPass)
		length = c.DecodeTime(len(g.decoding), g.contextTokens)
	}
	prefill, completed := g.prefill(steps * c.ChunkTokens)
	decoding := g.decoding
	g.emulator.Schedule(g.emulator.now+g.slowed(length+prefill), func() { g.endPass(decoding, completed) })
}

// slowed returns how long the engine takes now for work that takes d on one that is not slow.
func (g *engine) slowed(d time.Duration) time.Duration {
	if g.emulator.config.Slowdown == nil {
		return d
	}
	return time.Duration(max(1, g.emulator.config.Slowdown(g.index, g.emulator.now)) * float64(d))
}

// prefill processes up to the given number of tokens of the pending parts. It
// returns the time that this takes and the parts that it completes.
func (g *engine) prefill(tokens int) (time.Duration, []*part) {
	var took time.Duration
	var completed []*part
	budget := float64(tokens)
	for budget > 0 && len(g.splitParts)+len(g.wholePrompts) > 0 {
		var p *part
		if n := len(g.splitParts); n > 0 {
			p = g.splitParts[n-1]
		} else {
			p = g.wholePrompts[0]
		}
		step := min(p.remaining, time.Duration(budget/p.rate*float64(time.Second))+1)
		p.remaining -= step
		took += step
		budget -= step.Seconds() * p.rate
		if p.remaining > 0 {
			break
		}
		completed = append(completed, p)
		if n := len(g.splitParts); n > 0 {
			g.splitParts = g.splitParts[:n-1]
		} else {
			g.wholePrompts = g.wholePrompts[1:]
		}
	}
	return took, completed
}

// endPass ends a pass: it sends an event for each request that was decoded, and
// starts decoding the prompts whose prefill is complete.
func (g *engine) endPass(decoding []*task, completed []*part) {
	g.passRunning = false
	for _, t := range decoding {
		g.sendEvent(t)
	}
	for _, p := range completed {
		if p.task.pendingParts--; p.task.pendingParts == 0 {
			decoder := g.emulator.engines[p.task.Engine]
			decoder.decoding = append(decoder.decoding[:len(decoder.decoding):len(decoder.decoding)], p.task)
			decoder.sendEvent(p.task)
			decoder.startPass()
		}
	}
	g.admit()
}

// sendEvent sends the next event of an answer, and ends the job after the last.
func (g *engine) sendEvent(t *task) {
	now := g.emulator.now
	t.sentEvents++
	switch {
	case t.sentEvents == 1 && t.OnFirst != nil:
		t.OnFirst(now)
	case t.sentEvents > 1 && t.OnNext != nil:
		t.OnNext(now)
	}
	if t.sentEvents < t.Events {
		return
	}
	others := make([]*task, 0, len(g.decoding))
	for _, w := range g.decoding {
		if w != t {
			others = append(others, w)
		}
	}
	g.decoding = others
	g.running--
	g.contextTokens -= t.memoryTokens
	if t.OnEnd != nil {
		t.OnEnd(now)
	}
}
