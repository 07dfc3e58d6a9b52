package replayer

import (
	"fmt"
	"io"
	"time"
)

// Count counts the outcomes of the requests of one class or one second.
type Count struct {
	Requests      int
	InTime        int // first event and all gaps within the limits of the class
	Late          int
	Refused       int // refused after the retry too, or ended after the timeout of the caller
	Returned      int // that came back after a refusal
	Again         int // that were refused again then
	PossibleValue float64
	EarnedValue   float64
}

// InTimeShare returns the share of requests that were answered in time.
func (c Count) InTimeShare() float64 { return float64(c.InTime) / float64(max(1, c.Requests)) }

// ValueShare returns the earned share of the possible value.
func (c Count) ValueShare() float64 {
	if c.PossibleValue == 0 {
		return 0
	}
	return c.EarnedValue / c.PossibleValue
}

// Result holds the outcome of a replay.
type Result struct {
	Classes []Count
	Seconds []Count // by second of arrival
	Domains Domains
	// Datagrams is the number of updates that all entries received, 0 unless the load is
	// Announced.
	Datagrams int
	load      Load
}

func newResult(l Load) *Result {
	return &Result{Classes: make([]Count, len(l.Classes)), Seconds: make([]Count, 1+int(l.Length/time.Second)), load: l}
}

// value scales the value of an answer with the size of the request, which its
// caller pays for.
func (r *Result) value(q *request, base float64) float64 {
	const floor, ceiling = 0.3, 4.0
	const eventWeight = 10 * tokensPerEvent // a generated token costs ten times as much as a prompt token
	c := r.load.Classes[q.class]
	size := (float64(q.tokens) + eventWeight*float64(q.events)) / (c.Tokens.Mean + eventWeight*c.Events.Mean)
	return base * min(ceiling, floor+(1-floor)*size)
}

func (r *Result) counts(q *request) [2]*Count {
	return [2]*Count{&r.Classes[q.class], &r.Seconds[int(q.arrival/time.Second)]}
}

func (r *Result) recordArrival(q *request) {
	for _, c := range r.counts(q) {
		c.Requests++
		c.PossibleValue += r.value(q, r.load.Classes[q.class].InTimeValue)
	}
}

func (r *Result) recordRefusal(q *request) {
	for _, c := range r.counts(q) {
		c.Refused++
	}
}

// recordReturn records that a caller comes back, or that it is refused again then.
func (r *Result) recordReturn(q *request, again bool) {
	for _, c := range r.counts(q) {
		if again {
			c.Again++
			continue
		}
		c.Returned++
	}
}

func (r *Result) recordAnswer(q *request) {
	class := r.load.Classes[q.class]
	for _, c := range r.counts(q) {
		if q.firstEvent-q.arrival <= class.Target && !q.gapExceeded {
			c.InTime++
			c.EarnedValue += r.value(q, class.InTimeValue)
			continue
		}
		c.Late++
		c.EarnedValue += r.value(q, class.LateValue)
	}
}

// ValueShare returns the earned share of the possible value over all classes.
func (r *Result) ValueShare() float64 {
	var sum Count
	for _, c := range r.Classes {
		sum.PossibleValue += c.PossibleValue
		sum.EarnedValue += c.EarnedValue
	}
	return sum.ValueShare()
}

// Write writes one line of key=value pairs for each class and one for their total.
func (r *Result) Write(w io.Writer) error {
	for i, c := range r.Classes {
		_, err := fmt.Fprintf(w, "class=%s asked=%d in_time=%.3f late=%d refused=%d returned=%d again=%d worth=%.3f\n",
			r.load.Classes[i].Name, c.Requests, c.InTimeShare(), c.Late, c.Refused, c.Returned, c.Again, c.ValueShare())
		if err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintf(w, "class=all worth=%.3f\n", r.ValueShare()); err != nil || r.load.Domains == 0 {
		return err
	}
	_, err := fmt.Fprintf(w, "domains=%d own=%.3f parts_own=%.3f\n", r.load.Domains, r.Domains.OwnShare(), r.Domains.PartsOwnShare())
	return err
}
