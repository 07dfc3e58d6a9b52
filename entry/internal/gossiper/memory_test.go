package gossiper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/storer"
)

// network connects HTTP servers and clients in one process without sockets, and
// counts calls and bytes.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	cut       map[string]bool // unreachable addresses
	hung      map[string]bool // addresses that never answer
	bytes     atomic.Int64
	calls     atomic.Int64
}

func newNetwork() *network {
	return &network{listeners: map[string]chan net.Conn{}, cut: map[string]bool{}, hung: map[string]bool{}}
}

var errRefused = errors.New("connection refused")

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, cut := n.listeners[address], n.cut[address]
	n.mu.Unlock()
	if l == nil || cut {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l <- far:
		return counted{near, n}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	n *network
}

func (c counted) Write(b []byte) (int, error) {
	c.n.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.bytes.Add(int64(n))
	return n, err
}

// peer returns a client for the servers of the network. A cut address fails on
// new and on existing connections.
func (n *network) peer() *certifier.Peer {
	p := certifier.NewPeer(nil)
	p.Client = &http.Client{Transport: trip{n, &http.Transport{DialContext: n.dial, MaxIdleConnsPerHost: 2}}}
	return p
}

type trip struct {
	n    *network
	next http.RoundTripper
}

func (t trip) RoundTrip(q *http.Request) (*http.Response, error) {
	t.n.mu.Lock()
	cut, hung := t.n.cut[q.URL.Host], t.n.hung[q.URL.Host]
	t.n.mu.Unlock()
	if cut {
		return nil, errRefused
	}
	if hung {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	t.n.calls.Add(1)
	return t.next.RoundTrip(q)
}

// listener accepts the connections of one server of the network.
type listener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// serve starts a server and returns a function that stops it.
func (n *network) serve(address string, handler http.Handler) (stop func()) {
	l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[address] = l.conns
	n.mu.Unlock()
	web := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go web.Serve(l)
	return func() { web.Close() }
}

// memoryTable is an in-memory table service.
type memoryTable struct {
	mu   sync.Mutex
	rows map[string]storer.Row
	down bool
}

func (t *memoryTable) Get(_ context.Context, key string) (storer.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return storer.Row{}, &storer.UnavailableError{}
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

func (t *memoryTable) Scan(_ context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, &storer.UnavailableError{}
	}
	var rows []storer.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storer.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *memoryTable) Commit(_ context.Context, txn storer.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return &storer.UnavailableError{}
	}
	return txn.Apply(t.rows)
}

func (t *memoryTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

func (n *network) setHung(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hung[address] = true
}
