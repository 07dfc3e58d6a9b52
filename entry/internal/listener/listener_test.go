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

// bench is a listener and what it heard.
type bench struct {
	*Listener
	now   time.Time
	reply *wire.BeatReply
	heard []*wire.Report
}

func newBench() *bench {
	b := &bench{now: time.Unix(1000, 0), reply: &wire.BeatReply{Sequence: 5, EveryMs: 2000, Entries: []string{"a", "b"}}}
	b.Listener = New(Config{
		OnReport: func(r *wire.Report) { b.heard = append(b.heard, r) },
		Reply:    func(*wire.Report) *wire.BeatReply { return proto.Clone(b.reply).(*wire.BeatReply) },
		Now:      func() time.Time { return b.now },
	})
	return b
}

// sender is one boot of a sidecar with its session.
type sender struct {
	base *wire.Report
	pass *wire.Pass
}

func (b *bench) call(server string, boot uint64) *sender {
	report := &wire.Report{Server: server, Boot: boot, Serial: 1, Free: 100, Running: 3, Role: "both"}
	return &sender{base: differ.Base(report), pass: b.Grant(report, b.reply)}
}

// beat seals a report that differs from the call's in its serial number, and in
// what change does to it.
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
	b := newBench()
	s := b.call("s", 1)
	second := s.beat(2, func(r *wire.Report) { r.Running = 0; r.Free = 50 })
	third := s.beat(3, func(r *wire.Report) { r.Free = 60 })
	s.beat(4, nil) // lost
	fifth := s.beat(5, func(r *wire.Report) { r.Role = "" })
	is.Equal(s.ack(t, b.Handle(third, nil)).GetSerial(), uint64(3))
	is.Equal(b.Handle(second, nil), nil) // overtaken
	is.Equal(b.Handle(third, nil), nil)  // comes twice
	ack := s.ack(t, b.Handle(fifth, nil))
	is.Equal(ack.GetSerial(), uint64(5))
	is.Equal(ack.GetSequence(), uint64(5))
	is.Equal(ack.GetEveryMs(), int64(2000))
	is.True(!ack.GetCall())
	is.Equal(len(b.heard), 2)
	is.Equal(b.heard[0].GetFree(), int64(60))
	is.Equal(b.heard[0].GetRunning(), int32(3)) // of the call: the second one's word is not in it
	is.True(proto.Equal(b.heard[1], &wire.Report{Server: "s", Boot: 1, Serial: 5, Free: 100, Running: 3}))
	is.Equal(b.Counts().Late.Load(), int64(2))
}

func TestForgedDatagramsAreNotHeard(t *testing.T) {
	b := newBench()
	good, other := b.call("s", 1), b.call("other", 1)
	key := sealer.NewKey()
	for name, test := range map[string][]byte{
		"own key":                  (&sender{base: good.base, pass: &wire.Pass{Session: good.pass.GetSession(), Key: key}}).beat(9, nil),
		"another's key":            (&sender{base: good.base, pass: &wire.Pass{Session: good.pass.GetSession(), Key: other.pass.GetKey()}}).beat(9, nil),
		"own session":              (&sender{base: good.base, pass: &wire.Pass{Session: 7, Key: key}}).beat(9, nil),
		"another server":           other.beat(9, func(r *wire.Report) { r.Server = "s" }),
		"another boot":             other.beat(9, func(r *wire.Report) { r.Boot = 2 }),
		"an answer sent back":      sealer.Seal(good.pass.GetKey(), sealer.Ack, good.pass.GetSession(), nil),
		"no datagram of this kind": []byte("GET / HTTP/1.1\r\n\r\n..............."),
		"empty":                    nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(b.Handle(test, nil), nil)
			is.Equal(len(b.heard), 0)
		})
	}
	is := is.New(t)
	is.Equal(b.Counts().Forged.Load()+b.Counts().Unknown.Load(), int64(8))
	is.Equal(good.ack(t, b.Handle(good.beat(2, nil), nil)).GetSerial(), uint64(2)) // the owner is heard all the same
}

func TestRestarts(t *testing.T) {
	is := is.New(t)
	b := newBench()
	old := b.call("s", 1)
	fresh := b.call("s", 2)
	is.Equal(b.Handle(old.beat(9, nil), nil), nil) // the sidecar's earlier boot
	is.Equal(fresh.ack(t, b.Handle(fresh.beat(2, nil), nil)).GetSerial(), uint64(2))
	is.Equal(b.call("s", 1).pass, nil) // its call came late
	is.Equal(b.Sessions(), 1)
	is.Equal(newBench().Handle(fresh.beat(3, nil), nil), nil) // an entry that started anew
}

func TestNewsAndAgeAskForACall(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*bench)
		call   bool
	}{
		"nothing new":            {func(*bench) {}, false},
		"configuration and pace": {func(b *bench) { b.reply.Sequence, b.reply.EveryMs = 9, 9000 }, false},
		"another entry":          {func(b *bench) { b.reply.Entries = []string{"a", "c"} }, true},
		"a crash suspect":        {func(b *bench) { b.reply.Suspects = []*wire.Accusation{{Fingerprint: "f"}} }, true},
		"the session is an hour": {func(b *bench) { b.now = b.now.Add(time.Hour + time.Second) }, true},
		"the session is not old": {func(b *bench) { b.now = b.now.Add(time.Hour - time.Second) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench()
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

func TestSilentSessionsEnd(t *testing.T) {
	is := is.New(t)
	b := newBench()
	s, quiet := b.call("s", 1), b.call("quiet", 1)
	b.now = b.now.Add(defaultForget - time.Second)
	b.Handle(s.beat(2, nil), nil)
	b.now = b.now.Add(2 * time.Second)
	b.ExpireSessions()
	is.Equal(b.Sessions(), 1)
	is.Equal(b.Handle(quiet.beat(2, nil), nil), nil)
	is.Equal(s.ack(t, b.Handle(s.beat(3, nil), nil)).GetSerial(), uint64(3))
}
