package listener

import (
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bamboohill/core/differ"
	"bamboohill/core/sealer"
	"bamboohill/wire"

	"google.golang.org/protobuf/proto"
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// busyReport returns the report of a loaded model engine.
func busyReport() *wire.Report {
	return &wire.Report{
		Server: "engine-ikeja-0137", Vm: "vm-ikeja-0137", Domain: "ikeja", Address: "10.20.30.40:7100", Boot: 1_790_000_000_000_000,
		Serial: 1 << 20, State: wire.State_STATE_OPEN, Kind: wire.Kind_KIND_MODEL,
		Offers: []*wire.Offer{{Model: "base", Version: "2026-11", Adapters: []string{"survey", "briefing"}}},
		Memory: 2_400_000, Free: 1_100_000, Running: 14, Limit: 64, Queued: 210_000, Long: 180_000, Prefill: 41_000, Decode: 38,
		Sequence: 1 << 22, Role: "both", Bound: 400_000, EveryMs: 500,
	}
}

// BenchmarkDatagram measures one heartbeat of the sidecar of a loaded model engine
// and its reply over the loopback interface, with both ends in this process. All
// load figures differ from the report of the call.
func BenchmarkDatagram(b *testing.B) {
	reply := &wire.BeatReply{Sequence: 1<<22 + 9, EveryMs: 27_500}
	l := New(Config{OnReport: func(*wire.Report) {}, Reply: func(*wire.Report) *wire.BeatReply { return proto.Clone(reply).(*wire.BeatReply) }})
	conn, err := (&net.ListenConfig{}).ListenPacket(b.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	go l.Serve(conn)
	client, err := (&net.Dialer{}).DialContext(b.Context(), "udp", conn.LocalAddr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	first := busyReport()
	pass := l.Grant(first, reply)
	base := differ.Base(first)
	next := proto.Clone(first).(*wire.Report)
	next.Free, next.Running, next.Queued, next.Long, next.Brief = 900_000, 17, 260_000, 190_000, 9_000
	next.Prefill, next.Decode, next.Sequence, next.EveryMs = 40_123.5, 37.25, 1<<22+9, 27_500
	received := make([]byte, sealer.MaxDatagram)
	usedBefore := processorTime()
	b.ResetTimer()
	for range b.N {
		next.Serial++
		body, err := proto.Marshal(differ.Diff(base, next))
		if err != nil {
			b.Fatal(err)
		}
		if _, err := client.Write(sealer.Seal(pass.GetKey(), sealer.Beat, pass.GetSession(), body)); err != nil {
			b.Fatal(err)
		}
		n, err := client.Read(received)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := sealer.Open(pass.GetKey(), sealer.Ack, received[:n]); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	if b.N < 2 {
		return
	}
	beats := float64(l.counts.Datagrams.Load())
	fmt.Printf("bench=datagram beats=%d wire_bytes=%.1f cpu_us=%.1f\n", b.N, float64(l.counts.Bytes.Load())/beats, float64((processorTime()-usedBefore).Microseconds())/beats)
}

// BenchmarkDirectPush measures a push of one change and its reply over the
// loopback interface, with both ends in this process.
func BenchmarkDirectPush(b *testing.B) {
	l := New(Config{OnReport: func(*wire.Report) {}, Reply: func(*wire.Report) *wire.BeatReply { return &wire.BeatReply{} }})
	conn, err := (&net.ListenConfig{}).ListenPacket(b.Context(), "udp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	go l.Serve(conn)
	client, err := (&net.Dialer{}).DialContext(b.Context(), "udp", conn.LocalAddr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	first := busyReport()
	pass := l.Grant(first, &wire.BeatReply{})
	beat, err := proto.Marshal(&wire.Beat{Changed: &wire.Report{Serial: first.GetSerial() + 1}})
	if err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, sealer.MaxDatagram)
	if _, err := client.Write(sealer.Seal(pass.GetKey(), sealer.Beat, pass.GetSession(), beat)); err != nil {
		b.Fatal(err)
	}
	if _, err := client.Read(buffer); err != nil {
		b.Fatal(err)
	}
	var bytes atomic.Int64
	go func() {
		for {
			n, err := client.Read(buffer)
			if err != nil {
				return
			}
			body, _ := sealer.Open(pass.GetKey(), sealer.Push, buffer[:n])
			push := &wire.DirectPush{}
			if proto.Unmarshal(body, push) != nil {
				return
			}
			reply, _ := proto.Marshal(&wire.DirectReply{Serial: push.GetSerial(), Sequence: push.GetBatch().GetSequence()})
			sent, _ := client.Write(sealer.Seal(pass.GetKey(), sealer.PushAck, pass.GetSession(), reply))
			bytes.Store(int64(n + sent + 2*headerBytes))
		}
	}()
	batch := &wire.Batch{Sequence: 1 << 22, Changes: []*wire.Change{{
		Sequence: 1 << 22, Id: "82e281a2a5e9ff1283b00b34e83c6d72", Author: "ana", Key: "domain/ikeja", Version: 40,
		Record: &wire.Record{Value: &wire.Record_Domain{Domain: &wire.Placement{Name: "ikeja", Out: true, Reason: "power work"}}},
	}}}
	usedBefore := processorTime()
	b.ResetTimer()
	for range b.N {
		if _, answered := l.Push(b.Context(), first.GetServer(), first.GetBoot(), batch); !answered {
			b.Fatal("push was not answered")
		}
	}
	b.StopTimer()
	if b.N < 2 {
		return
	}
	fmt.Printf("bench=direct pushes=%d wire_bytes=%d cpu_us=%.1f\n", b.N, bytes.Load(), float64((processorTime()-usedBefore).Microseconds())/float64(b.N))
}
