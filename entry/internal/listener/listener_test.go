package listener

import (
	"testing"
	"time"

	"bamboohill/core/differ"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// fixture is a listener with a fake clock, and the reports that it received.
type fixture struct {
	*Listener
	now     time.Time
	reply   *wire.BeatReply
	reports []*wire.Report
}

func newFixture() *fixture {
	b := &fixture{now: time.Unix(1000, 0), reply: &wire.BeatReply{Sequence: 5, EveryMs: 2000, Entries: []string{"a", "b"}}}
	b.Listener = New(Config{
		OnReport: func(r *wire.Report) { b.reports = append(b.reports, r) },
		Reply:    func(*wire.Report) *wire.BeatReply { return proto.Clone(b.reply).(*wire.BeatReply) },
		Now:      func() time.Time { return b.now },
	})
	return b
}

// sender is one boot of a sidecar and its session.
type sender struct {
	base *wire.Report
	pass *wire.Pass
}

// call makes the first call of a boot, which grants it a session.
func (b *fixture) call(server string, boot uint64) *sender {
	report := &wire.Report{Server: server, Boot: boot, Serial: 1, Free: 100, Running: 3, Role: "both"}
	return &sender{base: differ.Base(report), pass: b.Grant(report, b.reply)}
}

// beat returns the datagram of a report that differs from the call's in its serial
// number and in the fields that change sets.
func (s *sender) beat(serial uint64, change func(*wire.Report)) []byte {
	next := proto.Clone(s.base).(*wire.Report)
	next.Serial = serial
	if change != nil {
		change(next)
	}
	body, err := proto.Marshal(differ.Diff(s.base, next))
	if err != nil {
		panic(err)
	}
	return sealer.Seal(s.pass.GetKey(), sealer.Beat, s.pass.GetSession(), body)
}

// ack returns the content of the reply to a heartbeat.
func (s *sender) ack(t *testing.T, datagram []byte) *wire.BeatAck {
	t.Helper()
	body, err := sealer.Open(s.pass.GetKey(), sealer.Ack, datagram)
	if err != nil {
		t.Fatal(err)
	}
	ack := &wire.BeatAck{}
	if err := proto.Unmarshal(body, ack); err != nil {
		t.Fatal(err)
	}
	return ack
}

func TestLostAndReorderedDatagrams(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	s := b.call("s", 1)
	second := s.beat(2, func(r *wire.Report) { r.Running = 0; r.Free = 50 })
	third := s.beat(3, func(r *wire.Report) { r.Free = 60 })
	s.beat(4, nil) // lost
	fifth := s.beat(5, func(r *wire.Report) { r.Role = "" })
	is.Equal(s.ack(t, b.Handle(third, nil)).GetSerial(), uint64(3))
	is.Equal(b.Handle(second, nil), nil) // older than the last one
	is.Equal(b.Handle(third, nil), nil)  // duplicate
	ack := s.ack(t, b.Handle(fifth, nil))
	is.Equal(ack.GetSerial(), uint64(5))
	is.Equal(ack.GetSequence(), uint64(5))
	is.Equal(ack.GetEveryMs(), int64(2000))
	is.True(!ack.GetCall())
	is.Equal(len(b.reports), 2)
	is.Equal(b.reports[0].GetFree(), int64(60))
	is.Equal(b.reports[0].GetRunning(), int32(3)) // from the call: the dropped datagram changed nothing
	is.True(proto.Equal(b.reports[1], &wire.Report{Server: "s", Boot: 1, Serial: 5, Free: 100, Running: 3}))
	is.Equal(b.Counts().Late.Load(), int64(2))
}

func TestForgedDatagramsAreDropped(t *testing.T) {
	b := newFixture()
	good, other := b.call("s", 1), b.call("other", 1)
	key := sealer.NewKey()
	for name, test := range map[string][]byte{
		"unknown key":           (&sender{base: good.base, pass: &wire.Pass{Session: good.pass.GetSession(), Key: key}}).beat(9, nil),
		"another's key":         (&sender{base: good.base, pass: &wire.Pass{Session: good.pass.GetSession(), Key: other.pass.GetKey()}}).beat(9, nil),
		"unknown session":       (&sender{base: good.base, pass: &wire.Pass{Session: 7, Key: key}}).beat(9, nil),
		"another server":        other.beat(9, func(r *wire.Report) { r.Server = "s" }),
		"another boot":          other.beat(9, func(r *wire.Report) { r.Boot = 2 }),
		"reflected reply":       sealer.Seal(good.pass.GetKey(), sealer.Ack, good.pass.GetSession(), nil),
		"not a sealed datagram": []byte("GET / HTTP/1.1\r\n\r\n..............."),
		"empty":                 nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(b.Handle(test, nil), nil)
			is.Equal(len(b.reports), 0)
		})
	}
	is := is.New(t)
	is.Equal(b.Counts().Forged.Load()+b.Counts().Unknown.Load(), int64(8))
	is.Equal(good.ack(t, b.Handle(good.beat(2, nil), nil)).GetSerial(), uint64(2)) // the session still accepts its owner
}

func TestRestarts(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	old := b.call("s", 1)
	restarted := b.call("s", 2)
	is.Equal(b.Handle(old.beat(9, nil), nil), nil) // from the sidecar's earlier boot
	is.Equal(restarted.ack(t, b.Handle(restarted.beat(2, nil), nil)).GetSerial(), uint64(2))
	is.Equal(b.call("s", 1).pass, nil) // delayed call of the earlier boot
	is.Equal(b.Sessions(), 1)
	is.Equal(newFixture().Handle(restarted.beat(3, nil), nil), nil) // an entry that was restarted
}

func TestChangesAndAgeRequestACall(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*fixture)
		call   bool
	}{
		"no change":              {func(*fixture) {}, false},
		"sequence and interval":  {func(b *fixture) { b.reply.Sequence, b.reply.EveryMs = 9, 9000 }, false},
		"entries changed":        {func(b *fixture) { b.reply.Entries = []string{"a", "c"} }, true},
		"a crash suspect":        {func(b *fixture) { b.reply.Suspects = []*wire.Accusation{{Fingerprint: "f"}} }, true},
		"the session is too old": {func(b *fixture) { b.now = b.now.Add(time.Hour + time.Second) }, true},
		"the session is not old": {func(b *fixture) { b.now = b.now.Add(time.Hour - time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture()
			s := b.call("s", 1)
			test.change(b)
			is.Equal(s.ack(t, b.Handle(s.beat(2, nil), nil)).GetCall(), test.call)
		})
	}
	is := is.New(t)
	a, c := &wire.Accusation{Fingerprint: "f", Server: "a", AgeMs: 1}, &wire.Accusation{Fingerprint: "f", Server: "c", AgeMs: 2}
	older := &wire.Accusation{Fingerprint: "f", Server: "a", AgeMs: 9}
	is.Equal(digest(&wire.BeatReply{Suspects: []*wire.Accusation{a, c}}), digest(&wire.BeatReply{Suspects: []*wire.Accusation{c, older}}))
}

func TestIdleSessionsExpire(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	s, idle := b.call("s", 1), b.call("quiet", 1)
	b.now = b.now.Add(defaultIdleTimeout - time.Second)
	b.Handle(s.beat(2, nil), nil)
	b.now = b.now.Add(2 * time.Second)
	b.ExpireSessions()
	is.Equal(b.Sessions(), 1)
	is.Equal(b.Handle(idle.beat(2, nil), nil), nil)
	is.Equal(s.ack(t, b.Handle(s.beat(3, nil), nil)).GetSerial(), uint64(3))
}
