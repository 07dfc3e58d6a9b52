package listener

import (
	"net"
	"sync"
	"time"

	"bamboohill/core/certifier"
	"bamboohill/core/differ"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// Defaults of Config, and bounds.
const (
	defaultLife   = time.Hour
	defaultForget = 4 * time.Minute
	headerBytes   = 28 // of IP and UDP before each datagram
	// callBytes is about what a heartbeat as a call takes.
	callBytes = 600
)

// Config describes a Listener. The zero Life is an hour, the zero Forget four
// minutes; Now is the clock, time.Now if nil.
type Config struct {
	// OnReport takes a report.
	OnReport func(*wire.Report)
	// Reply returns what a call with a report would be answered.
	Reply       func(*wire.Report) *wire.BeatReply
	MaxAge      time.Duration // of a session until a call is asked for
	IdleTimeout time.Duration // without a heartbeat until a session ends
	Now         func() time.Time
}

// session is the right of one boot of one sidecar to send datagrams.
type session struct {
	id     uint64
	key    []byte
	base   *wire.Report
	serial uint64 // of the newest report
	told   uint64 // digest of what the last call was answered
	since  time.Time
	heard  time.Time
	from   net.Addr // of the newest datagram
	deaf   int      // pushes in a row without an answer
}

// Listener holds the sessions of one entry.
type Listener struct {
	config Config
	counts Counts

	mu       sync.Mutex
	sessions map[uint64]*session
	servers  map[string]*session
	conn     net.PacketConn // nil before Serve
	pushes   uint64
	pushed   map[uint64]chan *wire.DirectReply // pushes under way, by serial number
}

// New returns a listener without sessions. It panics without Hear or Reply.
func New(config Config) *Listener {
	if config.OnReport == nil || config.Reply == nil {
		panic("listener: nil hear or reply")
	}
	if config.MaxAge <= 0 {
		config.MaxAge = defaultLife
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultForget
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Listener{config: config, sessions: map[uint64]*session{}, servers: map[string]*session{}, pushed: map[uint64]chan *wire.DirectReply{}}
}

// Counts returns the counters.
func (l *Listener) Counts() *Counts { return &l.counts }

// Sessions returns how many sidecars send heartbeats to this entry.
func (l *Listener) Sessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}

// Grant starts a session for the sender of a call that was answered with reply,
// and ends that server's earlier one. A call of an older boot, which came late,
// is granted nothing.
func (l *Listener) Grant(report *wire.Report, reply *wire.BeatReply) *wire.Pass {
	if report.GetServer() == "" {
		return nil
	}
	now := l.config.Now()
	l.counts.Calls.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.servers[report.GetServer()]
	if old != nil && old.base.GetBoot() > report.GetBoot() && now.Sub(old.heard) <= l.config.IdleTimeout {
		return nil
	}
	if old != nil {
		delete(l.sessions, old.id)
	}
	s := &session{
		id: sealer.NewSession(), key: sealer.NewKey(), base: differ.Base(report), serial: report.GetSerial(), told: digest(reply),
		since: now, heard: now,
	}
	l.sessions[s.id] = s
	l.servers[report.GetServer()] = s
	return &wire.Pass{Session: s.id, Key: s.key}
}

// ExpireSessions ends the sessions of sidecars that are not heard any more.
func (l *Listener) ExpireSessions() {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.sessions {
		if now.Sub(s.heard) > l.config.IdleTimeout {
			delete(l.sessions, id)
			delete(l.servers, s.base.GetServer())
		}
	}
}

// Serve takes and answers datagrams until the connection is closed.
func (l *Listener) Serve(conn net.PacketConn) error {
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	buffer := make([]byte, sealer.MaxDatagram+1)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return err
		}
		certifier.AddInternalBytes(n + headerBytes)
		answer := l.Handle(buffer[:n], from)
		if answer == nil {
			continue
		}
		l.counts.Bytes.Add(int64(n + len(answer) + 2*headerBytes))
		if n, err := conn.WriteTo(answer, from); err == nil {
			certifier.AddInternalBytes(n + headerBytes)
		}
	}
}

// Handle takes one datagram and returns its answer, nil if it is dropped or the
// answer to a push.
func (l *Listener) Handle(datagram []byte, from net.Addr) []byte {
	s, report := l.open(datagram, from)
	if report == nil {
		return nil
	}
	l.counts.Datagrams.Add(1)
	l.config.OnReport(report)
	reply := l.config.Reply(report)
	ack := &wire.BeatAck{
		Serial: report.GetSerial(), Sequence: reply.GetSequence(), EveryMs: reply.GetEveryMs(), Wanted: reply.GetWanted(),
		Call: s.told != digest(reply) || l.config.Now().Sub(s.since) > l.config.MaxAge,
	}
	body, err := proto.Marshal(ack)
	if err != nil {
		return nil
	}
	return sealer.Seal(s.key, sealer.Ack, s.id, body)
}

// open returns the report of a datagram, nil if it is dropped. It takes nothing
// from a datagram before its code is proved.
func (l *Listener) open(datagram []byte, from net.Addr) (*session, *wire.Report) {
	id, _ := sealer.Session(datagram)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sessions[id]
	if s == nil {
		l.counts.Unknown.Add(1)
		return nil, nil
	}
	body, err := sealer.Open(s.key, sealer.Beat, datagram)
	beat := &wire.Beat{}
	if err != nil && l.took(s, datagram) {
		return nil, nil
	}
	if err != nil || proto.Unmarshal(body, beat) != nil {
		l.counts.Forged.Add(1)
		return nil, nil
	}
	report := differ.Apply(s.base, beat)
	switch {
	case report.GetServer() != s.base.GetServer() || report.GetBoot() != s.base.GetBoot():
		l.counts.Forged.Add(1)
		return nil, nil
	case report.GetSerial() <= s.serial:
		l.counts.Late.Add(1)
		return nil, nil
	}
	s.serial = report.GetSerial()
	s.heard = l.config.Now()
	s.from = from
	return s, report
}
