package emulator

import "time"

// task is a job under way.
type task struct {
	Job
	missing int // parts not yet read
	memory  int // tokens at the engine that writes
	written int // events
}

// share is the part of a prompt that one engine reads.
type share struct {
	task *task
	left time.Duration
	rate float64 // tokens per second of reading
}

// engine is one model engine.
type engine struct {
	emulator *Emulator
	queue    []*task  // not admitted
	parts    []*share // of others' prompts, the newest last
	own      []*share // oldest first
	writers  []*task
	running  int
	context  int
	busy     bool
}

// admit takes requests from the queue while there are slots and memory.
func (g *engine) admit() {
	c := &g.emulator.config.Engine
	for len(g.queue) > 0 && g.running < c.Slots && g.context+g.queue[0].memory <= c.Capacity {
		t := g.queue[0]
		g.queue = g.queue[1:]
		g.running++
		g.context += t.memory
		size := 1 + len(t.Helpers)
		whole := c.PrefillTime(t.Tokens)
		part := func() *share {
			return &share{task: t, left: whole / time.Duration(size), rate: float64(t.Tokens) / max(1e-9, whole.Seconds())}
		}
		if len(t.Helpers) == 0 {
			g.own = append(g.own, part())
		} else {
			g.parts = append(g.parts, part())
		}
		for _, h := range t.Helpers {
			helper := g.emulator.engines[h]
			helper.parts = append(helper.parts, part())
			helper.wake()
		}
	}
	g.wake()
}

// wake starts a pass if there is work and none is under way.
func (g *engine) wake() {
	if g.busy || len(g.writers) == 0 && len(g.parts) == 0 && len(g.own) == 0 {
		return
	}
	g.busy = true
	c := &g.emulator.config.Engine
	steps := 1
	length := c.StepTime
	if len(g.writers) > 0 {
		steps = max(1, c.StepsPerPass)
		length = c.DecodeTime(len(g.writers), g.context)
	}
	read, done := g.read(steps * c.ChunkTokens)
	writers := g.writers
	g.emulator.Schedule(g.emulator.now+length+read, func() { g.end(writers, done) })
}

// read takes up to a number of tokens off what is to be read, and returns how
// long that takes and the shares that it completes.
func (g *engine) read(tokens int) (time.Duration, []*share) {
	var took time.Duration
	var done []*share
	left := float64(tokens)
	for left > 0 && len(g.parts)+len(g.own) > 0 {
		var s *share
		if n := len(g.parts); n > 0 {
			s = g.parts[n-1]
		} else {
			s = g.own[0]
		}
		bite := min(s.left, time.Duration(left/s.rate*float64(time.Second))+1)
		s.left -= bite
		took += bite
		left -= bite.Seconds() * s.rate
		if s.left > 0 {
			break
		}
		done = append(done, s)
		if n := len(g.parts); n > 0 {
			g.parts = g.parts[:n-1]
		} else {
			g.own = g.own[1:]
		}
	}
	return took, done
}

// end ends a pass: events leave, prompts that are read begin to write.
func (g *engine) end(writers []*task, done []*share) {
	g.busy = false
	for _, t := range writers {
		g.write(t)
	}
	for _, s := range done {
		if s.task.missing--; s.task.missing == 0 {
			first := g.emulator.engines[s.task.Engine]
			first.writers = append(first.writers[:len(first.writers):len(first.writers)], s.task)
			first.write(s.task)
			first.wake()
		}
	}
	g.admit()
}

// write sends an event of an answer.
func (g *engine) write(t *task) {
	now := g.emulator.now
	t.written++
	switch {
	case t.written == 1 && t.OnFirst != nil:
		t.OnFirst(now)
	case t.written > 1 && t.OnNext != nil:
		t.OnNext(now)
	}
	if t.written < t.Events {
		return
	}
	kept := make([]*task, 0, len(g.writers))
	for _, w := range g.writers {
		if w != t {
			kept = append(kept, w)
		}
	}
	g.writers = kept
	g.running--
	g.context -= t.memory
	if t.OnEnd != nil {
		t.OnEnd(now)
	}
}
