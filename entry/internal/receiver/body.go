package receiver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Growth of the memory that a body is read into.
const (
	firstBytes = 64 << 10
	growth     = 4 // the memory is at most so many times what was read
)

// defaultStall is how long a body may stop when Config says nothing.
const defaultStall = 10 * time.Second

// retryMemory is when to come back if the entry holds as many bodies as it may.
const retryMemory = time.Second

// read takes a body into memory within the entry's bounds. Memory is taken as
// the bytes come, never for what a caller only announces. A body that stops
// for longer than Config.Stall, or past the deadline, is given up.
func (r *Receiver) read(w http.ResponseWriter, q *http.Request, deadline time.Time, held *hold) ([]byte, *Failure) {
	most := r.config.Body
	if q.ContentLength > most {
		return nil, tooLarge()
	}
	if q.ContentLength >= 0 {
		most = q.ContentLength
	}
	control := http.NewResponseController(w)
	defer control.SetReadDeadline(time.Time{})
	body := []byte{}
	for {
		if len(body) == cap(body) {
			next, f := grow(body, most, held)
			if f != nil {
				return nil, f
			}
			body = next
		}
		control.SetReadDeadline(earlier(time.Now().Add(r.config.Stall), deadline))
		n, err := q.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, halfBody(w, err)
		}
		if int64(len(body)) > r.config.Body {
			return nil, tooLarge()
		}
	}
}

// grow returns the body in more memory, at most one byte more than most, so
// that the end of a body of that length is seen.
func grow(body []byte, most int64, held *hold) ([]byte, *Failure) {
	size := min(max(firstBytes, int64(cap(body))*growth), most+1)
	size = max(size, int64(cap(body))+1)
	if !held.take(size) {
		return nil, busy("entry_memory", "this entry holds as many bodies as it may", retryMemory)
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	held.give(int64(cap(body)))
	return next, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// halfBody explains a body that did not come whole. The connection can't be
// used again.
func halfBody(w http.ResponseWriter, err error) *Failure {
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f := invalid("slow_body", "the body stopped half way for too long")
		f.Status = http.StatusRequestTimeout
		return f
	}
	return invalid("broken_body", "the body stopped half way")
}

func tooLarge() *Failure {
	f := invalid("body_too_large", "the body is larger than this entry takes")
	f.Status = http.StatusRequestEntityTooLarge
	return f
}
