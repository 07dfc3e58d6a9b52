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

// Defaults of Config, and sizes.
const (
	defaultMaxAge      = time.Hour
	defaultIdleTimeout = 4 * time.Minute
	headerBytes        = 28 // of the IP and UDP headers of a datagram
	// callBytes is the approximate size of a heartbeat sent as a call and of its
	// reply.
	callBytes = 600
)

// Config configures a Listener. OnReport and Reply must be set. Now is the clock,
// time.Now if nil.
type Config struct {
	// OnReport processes the report of a heartbeat.
	OnReport func(*wire.Report)
	// Reply returns the reply that a call with the report would get.
	Reply       func(*wire.Report) *wire.BeatReply
	MaxAge      time.Duration // of a session until a call is requested, default one hour
	IdleTimeout time.Duration // without a heartbeat until a session ends, default four minutes
	Now         func() time.Time
}

// session allows one boot of a sidecar to send datagrams.
type session struct {
	id         uint64
	key        []byte
	base       *wire.Report // report of the call
	serial     uint64       // of the newest report
	callDigest uint64       // digest of the reply to the call
	started    time.Time
	lastReport time.Time
	address    net.Addr // sender of the newest datagram, nil before the first
	unanswered int      // consecutive pushes without a reply
}

// Listener holds the sessions of one entry. It is safe for concurrent use.
type Listener struct {
	config Config
	counts Counts

	mu       sync.Mutex
	sessions map[uint64]*session               // by session id
	servers  map[string]*session               // by server
	conn     net.PacketConn                    // nil before Serve
	lastPush uint64                            // serial number of the newest push
	pending  map[uint64]chan *wire.DirectReply // pushes that wait for a reply, by serial number
}

// New returns a listener without sessions. It panics if config.OnReport or
// config.Reply is nil.
func New(config Config) *Listener {
	if config.OnReport == nil || config.Reply == nil {
		panic("listener: nil OnReport or Reply")
	}
	if config.MaxAge <= 0 {
		config.MaxAge = defaultMaxAge
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Listener{config: config, sessions: map[uint64]*session{}, servers: map[string]*session{}, pending: map[uint64]chan *wire.DirectReply{}}
}

// Counts returns the counters.
func (l *Listener) Counts() *Counts { return &l.counts }

// Sessions returns the number of sidecars that send heartbeats to this entry.
func (l *Listener) Sessions() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.servers)
}

// Grant starts a session for the sender of a call that got reply, and ends the
// server's earlier session. It returns nil for a delayed call of an
// older boot while the newer one has a session, and for a report without a server.
func (l *Listener) Grant(report *wire.Report, reply *wire.BeatReply) *wire.Pass {
	if report.GetServer() == "" {
		return nil
	}
	now := l.config.Now()
	l.counts.Calls.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.servers[report.GetServer()]
	if old != nil && old.base.GetBoot() > report.GetBoot() && now.Sub(old.lastReport) <= l.config.IdleTimeout {
		return nil
	}
	if old != nil {
		delete(l.sessions, old.id)
	}
	s := &session{
		id: sealer.NewSession(), key: sealer.NewKey(), base: differ.Base(report), serial: report.GetSerial(), callDigest: digest(reply),
		started: now, lastReport: now,
	}
	l.sessions[s.id] = s
	l.servers[report.GetServer()] = s
	return &wire.Pass{Session: s.id, Key: s.key}
}

// ExpireSessions ends the sessions without a heartbeat for longer than IdleTimeout.
func (l *Listener) ExpireSessions() {
	now := l.config.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.sessions {
		if now.Sub(s.lastReport) > l.config.IdleTimeout {
			delete(l.sessions, id)
			delete(l.servers, s.base.GetServer())
		}
	}
}

// Serve receives datagrams and sends the replies until reading from the connection fails,
// and returns that error.
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
		reply := l.Handle(buffer[:n], from)
		if reply == nil {
			continue
		}
		l.counts.Bytes.Add(int64(n + len(reply) + 2*headerBytes))
		if n, err := conn.WriteTo(reply, from); err == nil {
			certifier.AddInternalBytes(n + headerBytes)
		}
	}
}

// Handle processes one datagram and returns the reply to it, nil if the datagram
// was dropped or is itself the reply to a push.
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
		Call: s.callDigest != digest(reply) || l.config.Now().Sub(s.started) > l.config.MaxAge,
	}
	body, err := proto.Marshal(ack)
	if err != nil {
		return nil
	}
	return sealer.Seal(s.key, sealer.Ack, s.id, body)
}

// open returns the report of a datagram, nil if it is dropped. Nothing in a
// datagram is used before its authentication code has been verified, apart from
// the session id.
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
	if err != nil && l.deliver(s, datagram) {
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
	s.lastReport = l.config.Now()
	s.address = from
	return s, report
}
