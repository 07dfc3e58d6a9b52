// Package aborter decides, for each request, whether its answer begins or it is aborted
// before.
//
// # Usage
//
//	a.Add(request, cancel)
//	defer a.Begin(request)
//	if !a.Begin(request) { ... aborted: the answer must not begin ... }
package aborter

import (
	"context"
	"sync"
)

// Aborter holds the requests whose answers have not begun. Its zero value holds none. It is
// safe for concurrent use.
type Aborter[Key comparable] struct {
	mu       sync.Mutex
	requests map[Key]context.CancelFunc
	ended    bool // all requests are canceled
}

// Add adds a request. After AbortAll it cancels the request at once and reports false.
func (a *Aborter[Key]) Add(k Key, cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		cancel()
		return false
	}
	if a.requests == nil {
		a.requests = map[Key]context.CancelFunc{}
	}
	a.requests[k] = cancel
	return true
}

// Begin removes a request as its answer begins, or as it ends. It reports false if the
// request is not held, so that the answer must not begin.
func (a *Aborter[Key]) Begin(k Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, found := a.requests[k]
	delete(a.requests, k)
	return found
}

// Abort cancels and removes the requests that match. match must not call the Aborter.
func (a *Aborter[Key]) Abort(match func(Key) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, cancel := range a.requests {
		if match(k) {
			cancel()
			delete(a.requests, k)
		}
	}
}

// AbortAll cancels and removes all requests, and cancels all later ones.
func (a *Aborter[Key]) AbortAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	for _, cancel := range a.requests {
		cancel()
	}
	clear(a.requests)
}
