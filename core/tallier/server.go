package tallier

// Fit says how the bytes of a body would add to those that backend servers have not taken.
type Fit int

// Fits, the best one first.
const (
	// FitsShare means that nothing waits at the server, or that what waits stays within an
	// equal part of the bound for each server that may get the body.
	FitsShare Fit = iota
	// FitsServer means that what waits at the server stays within its bound.
	FitsServer
	// Exceeds means that it does not.
	Exceeds
)

// Fit returns how n more bytes fit at a backend server, one of a number of servers that may
// get them. It is FitsShare without a bound.
func (t *Tallier) Fit(server string, servers int, n int64) Fit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fit(server, servers, n)
}

// Place counts n bytes as not taken by a backend server, if they fit there as said or
// better. The check and the count are one step, so that bodies that are placed at the same
// time don't all find the same room. Each call that reports true requires one of Take.
func (t *Tallier) Place(server string, servers int, n int64, allowed Fit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fit(server, servers, n) > allowed {
		return false
	}
	t.addServer(server, n)
	return true
}

// Take records that a backend server has taken n bytes, or won't be sent them.
func (t *Tallier) Take(server string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addServer(server, -n)
}

// fit implements Fit. The caller holds the lock.
func (t *Tallier) fit(server string, servers int, n int64) Fit {
	waiting := t.servers[server]
	switch {
	case t.server <= 0 || waiting == 0 || waiting+n <= t.server/int64(max(1, servers)):
		return FitsShare
	case waiting+n <= t.server:
		return FitsServer
	}
	return Exceeds
}

// addServer adds n bytes, which may be negative. The caller holds the lock.
func (t *Tallier) addServer(server string, n int64) {
	if t.servers[server] += n; t.servers[server] == 0 {
		delete(t.servers, server)
	}
}
