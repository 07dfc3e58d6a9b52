package receiver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// Sizes of the buffer that a body is read into.
const (
	initialBuffer = 64 << 10
	growthFactor  = 4 // the buffer is at most this many times as large as the bytes read
)

// defaultStallTimeout is the default of Config.StallTimeout.
const defaultStallTimeout = 10 * time.Second

// memoryRetryAfter is the advised delay before a retry if the memory for bodies
// is exhausted.
const memoryRetryAfter = time.Second

// readBody reads a body into memory within the limits of the entry. It reserves
// memory as the bytes arrive, never for a length that a caller only announces.
// It fails if no byte arrives for Config.StallTimeout or if the deadline passes.
func (r *Receiver) readBody(w http.ResponseWriter, q *http.Request, deadline time.Time, reserved *reservation) ([]byte, *Failure) {
	maxBytes := r.config.MaxBody
	if q.ContentLength > maxBytes {
		return nil, tooLarge()
	}
	if q.ContentLength >= 0 {
		maxBytes = q.ContentLength
	}
	control := http.NewResponseController(w)
	defer control.SetReadDeadline(time.Time{})
	body := []byte{}
	for {
		if len(body) == cap(body) {
			next, f := grow(body, maxBytes, reserved)
			if f != nil {
				return nil, f
			}
			body = next
		}
		control.SetReadDeadline(earlier(time.Now().Add(r.config.StallTimeout), deadline))
		n, err := q.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, incompleteBody(w, err)
		}
		if int64(len(body)) > r.config.MaxBody {
			return nil, tooLarge()
		}
	}
}

// grow copies the body to a larger buffer of at most maxBytes+1 bytes. The
// additional byte lets the next read detect the end of a body of maxBytes.
func grow(body []byte, maxBytes int64, reserved *reservation) ([]byte, *Failure) {
	size := min(max(initialBuffer, int64(cap(body))*growthFactor), maxBytes+1)
	size = max(size, int64(cap(body))+1)
	if !reserved.acquire(size) {
		return nil, unavailable("entry_memory", "this entry holds as many bodies as it may", memoryRetryAfter)
	}
	next := make([]byte, len(body), size)
	copy(next, body)
	reserved.release(int64(cap(body)))
	return next, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// incompleteBody returns the failure for a body that ended early, and has the
// connection closed, as it can't be reused.
func incompleteBody(w http.ResponseWriter, err error) *Failure {
	w.Header().Set("Connection", "close")
	if errors.Is(err, os.ErrDeadlineExceeded) {
		f := invalidRequest("slow_body", "the body stopped half way for too long")
		f.Status = http.StatusRequestTimeout
		return f
	}
	return invalidRequest("broken_body", "the body stopped half way")
}

func tooLarge() *Failure {
	f := invalidRequest("body_too_large", "the body is larger than this entry takes")
	f.Status = http.StatusRequestEntityTooLarge
	return f
}
