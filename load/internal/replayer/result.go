package replayer

import (
	"fmt"
	"io"
	"time"
)

// Count is what became of the requests of one class, or of one second.
type Count struct {
	Asked   int
	InTime  int // first event and all pauses within what the class allows
	Late    int
	Refused int // for good
	Owed    float64
	Earned  float64
}

// Share returns the part of the requests that were answered in time.
func (c Count) Share() float64 { return float64(c.InTime) / float64(max(1, c.Asked)) }

// Worth returns what was earned against what could have been.
func (c Count) Worth() float64 {
	if c.Owed == 0 {
		return 0
	}
	return c.Earned / c.Owed
}

// Result is the outcome of a replay.
type Result struct {
	Classes []Count
	Seconds []Count // by the second in which the request came
	load    Load
}

func newResult(l Load) *Result {
	return &Result{Classes: make([]Count, len(l.Classes)), Seconds: make([]Count, 1+int(l.Length/time.Second)), load: l}
}

// value returns what an answer is worth, which grows with what its caller pays
// for.
func (r *Result) value(q *request, worth float64) float64 {
	const floor, most = 0.3, 4.0
	const written = 10 * tokensPerEvent // a token that is written costs ten times one that is read
	c := r.load.Classes[q.class]
	size := (float64(q.tokens) + written*float64(q.events)) / (c.Tokens.Mean + written*c.Events.Mean)
	return worth * min(most, floor+(1-floor)*size)
}

func (r *Result) counts(q *request) [2]*Count {
	return [2]*Count{&r.Classes[q.class], &r.Seconds[int(q.asked/time.Second)]}
}

func (r *Result) asked(q *request) {
	for _, c := range r.counts(q) {
		c.Asked++
		c.Owed += r.value(q, r.load.Classes[q.class].Worth)
	}
}

func (r *Result) refused(q *request) {
	for _, c := range r.counts(q) {
		c.Refused++
	}
}

func (r *Result) answered(q *request) {
	class := r.load.Classes[q.class]
	for _, c := range r.counts(q) {
		if q.first-q.asked <= class.Target && !q.paused {
			c.InTime++
			c.Earned += r.value(q, class.Worth)
			continue
		}
		c.Late++
		c.Earned += r.value(q, class.Late)
	}
}

// Worth returns what all classes earned against what they could have.
func (r *Result) Worth() float64 {
	var sum Count
	for _, c := range r.Classes {
		sum.Owed += c.Owed
		sum.Earned += c.Earned
	}
	return sum.Worth()
}

// Write writes a table, one line for each class.
func (r *Result) Write(w io.Writer) error {
	for i, c := range r.Classes {
		_, err := fmt.Fprintf(w, "class=%s asked=%d in_time=%.3f late=%d refused=%d worth=%.3f\n",
			r.load.Classes[i].Name, c.Asked, c.Share(), c.Late, c.Refused, c.Worth())
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "class=all worth=%.3f\n", r.Worth())
	return err
}
