package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bamboohill/entry/internal/receiver"
)

// closeMargin is the time before the end of the process by which requests must be answered.
const closeMargin = 300 * time.Millisecond

// stop shuts the entry down. It reports not ready and accepts connections for the grace
// period, in which the load balancer notices that; it asks each caller to close its
// connection. Then it accepts none, and waits up to Config.FinishTimeout for running requests
// to end. From the beginning it accepts only requests whose own deadlines are before that end.
// Those whose answers have not begun closeMargin before the end are answered then, and
// connections that are still open at the end are closed. It returns the error of that, or
// context.DeadlineExceeded if connections had to be closed.
func (s *Server) stop(ctx context.Context, callers *http.Server, connections *receiver.ConnectionLimiter) error {
	unreachable := time.Now().Add(time.Duration(s.config.Settings.Grace) * time.Millisecond)
	end := unreachable.Add(s.config.FinishTimeout)
	s.callers.Stop(end.Add(-closeMargin), unreachable)
	s.stopping.Store(true) // who has seen the entry unready finds the rest in force
	s.gossiper.Leave(ctx)
	time.Sleep(time.Until(unreachable))
	connections.End()
	abandon := time.AfterFunc(time.Until(end)-closeMargin, s.callers.Abandon)
	defer abandon.Stop()
	shutdown, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	err := callers.Shutdown(shutdown)
	if err == nil {
		return nil
	}
	return errors.Join(err, callers.Close())
}

// closeWhenStopping asks callers to close their connections once the entry is
// stopping.
func (s *Server) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, q)
	})
}
