package watcher

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/matryer/is"
)

func TestClassify(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		silent time.Duration
		failed int
		want   Health
	}{
		"heard":          {time.Second, 0, Alive},
		"at the timeout": {3 * time.Second, 0, Alive},
		"silence only":   {time.Hour, 0, Suspect},
		"failures only":  {time.Second, 9, Suspect},
		"both":           {4 * time.Second, 1, Dead},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Classify(now.Add(-test.silent), test.failed, now, 3*time.Second); got != test.want {
				t.Errorf("Classify = %v, want %v", got, test.want)
			}
		})
	}
}

// bench is a Watcher with servers that report every second.
type bench struct {
	*Watcher
	serial uint64
}

func newBench(servers int) *bench {
	b := &bench{Watcher: New(Config{})}
	b.beat(servers)
	return b
}

// beat records a report of each of the servers 0 to n-1.
func (b *bench) beat(n int) {
	b.serial++
	for i := range n {
		b.Record(&wire.Report{Server: fmt.Sprint("s", i), Domain: "ikeja", Boot: 1, Serial: b.serial})
	}
	b.Tick()
	synctest.Wait()
}

// benched runs a test with a fake clock on a Watcher with the given number of
// servers.
func benched(t *testing.T, servers int, run func(is *is.I, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(servers)
		defer b.Stop()
		run(is.New(t), b)
	})
}

// second advances the clock by one second; servers 0 to n-1 report, and one call
// to each of the other servers fails.
func (b *bench) second(n, all int) {
	time.Sleep(time.Second)
	for i := n; i < all; i++ {
		b.RecordFailure(identifier.Server(fmt.Sprint("s", i)))
	}
	b.beat(n)
}

func TestDeadServerGetsNoWork(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		for range 5 {
			b.second(3, 4)
		}
		is.Equal(len(b.View().Servers), 3)
		is.Equal(len(b.View().Unavailable), 1)
		for range 70 {
			b.second(3, 4)
		}
		is.Equal(len(b.View().Unavailable), 0) // dropped
	})
}

func TestSilenceAloneKeepsServer(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		for range 100 {
			time.Sleep(time.Second)
			b.beat(3)
		}
		is.Equal(len(b.View().Servers), 4)
		is.Equal(len(b.SilentServers(9)), 1) // it is probed
	})
}

func TestDisconnectedEntryKeepsServers(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		for range 100 {
			b.second(0, 4)
		}
		is.Equal(len(b.View().Servers), 4) // all are dead, so all get work
		b.second(1, 4)
		is.Equal(len(b.View().Servers), 1) // the server that can be reached gets work at once
		is.Equal(len(b.View().Unavailable), 3)
	})
}

func TestFlappingServerIsHeld(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		available := 0
		for range 10 {
			for range 5 {
				b.second(3, 4)
			}
			for range 2 {
				b.second(4, 4)
				available += len(b.View().Servers) - 3
			}
		}
		is.True(available <= 4) // of the 20 seconds in which it reported
		for range 40 {
			b.second(4, 4)
		}
		is.Equal(len(b.View().Servers), 4) // stable again, it gets work
	})
}

func TestNewerBootWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(Config{})
		defer w.Stop()
		for _, r := range []*wire.Report{
			{Server: "s", Boot: 2, Serial: 1, Running: 7},
			{Server: "s", Boot: 1, Serial: 99, Running: 1}, // late report of the old boot
			{Server: "s", Boot: 2, Serial: 1, Running: 2},  // duplicate
		} {
			w.Record(r)
		}
		synctest.Wait()
		is.Equal(w.View().Servers[0].GetRunning(), int32(7))
		is.Equal(w.View().Servers[0].FailedCalls, 0)
	})
}

func TestSlowHeartbeatsAreNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(Config{})
		defer w.Stop()
		w.Record(&wire.Report{Server: "s", Boot: 1, Serial: 1, EveryMs: 10_000})
		synctest.Wait()
		for _, step := range []struct {
			wait time.Duration
			dead int
		}{{25 * time.Second, 0}, {6 * time.Second, 1}} {
			time.Sleep(step.wait)
			w.RecordFailure("s")
			w.Record(&wire.Report{Server: "other", Boot: 1, Serial: uint64(time.Now().UnixNano())})
			synctest.Wait()
			is.Equal(len(w.View().Unavailable), step.dead)
		}
	})
}

// TestReplacementWithClockBehind restarts a server with a lower boot number: its
// reports are accepted once the old server is dead, and not before.
func TestReplacementWithClockBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := New(Config{})
		defer w.Stop()
		record := func(name string, boot, serial uint64, running int32) {
			w.Record(&wire.Report{Server: name, Boot: boot, Serial: serial, Running: running})
			synctest.Wait()
		}
		record("other", 1, 1, 0)
		record("other2", 1, 1, 0)
		record("s", 100, 1, 7)
		record("s", 90, 1, 2)
		is.Equal(w.View().Servers[2].GetRunning(), int32(7))
		time.Sleep(4 * time.Second)
		record("other", 1, 2, 0)
		record("other2", 1, 2, 0)
		w.RecordFailure("s")
		synctest.Wait()
		is.Equal(len(w.View().Unavailable), 1)
		record("s", 90, 2, 2)
		time.Sleep(2 * time.Second) // no new work for a while
		w.Tick()
		synctest.Wait()
		is.Equal(len(w.View().Servers), 3)
		is.Equal(w.View().Servers[2].GetRunning(), int32(2))
	})
}

// TestRelayedReportsDoNotRevive guards against a server that this entry cannot
// reach, and that stays available only because other entries relay its reports.
func TestRelayedReportsDoNotRevive(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		for range 5 {
			b.second(3, 4)
			b.RecordRelayed(&wire.Report{Server: "s3", Domain: "ikeja", Boot: 1, Serial: b.serial, Running: 9})
			b.Tick()
			synctest.Wait()
		}
		is.Equal(len(b.View().Unavailable), 1)
		is.Equal(b.View().Unavailable[0].GetRunning(), int32(9)) // the report is updated all the same
		b.RecordRelayed(&wire.Report{Server: "s3", Domain: "ikeja", Boot: 2, Serial: 1})
		b.RecordRelayed(&wire.Report{Server: "s4", Domain: "ikeja", Boot: 1, Serial: 1})
		synctest.Wait()
		is.Equal(len(b.View().Servers)+len(b.View().Unavailable), 5)
		is.Equal(b.View().Unavailable[0].FailedCalls, 0) // after a restart the old failures do not count
	})
}

// TestPlannedLeaveIsNoFlap checks that a server which is replaced as planned
// several times does not count as flapping.
func TestPlannedLeaveIsNoFlap(t *testing.T) {
	for name, c := range map[string]struct {
		state     wire.State
		available int
	}{
		"leaving": {wire.State_STATE_LEAVING, 4},
		"crashed": {wire.State_STATE_OPEN, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newBench(4)
				defer b.Stop()
				for boot := range uint64(3) {
					b.Record(&wire.Report{Server: "s3", Domain: "ikeja", Boot: boot + 2, Serial: 9, State: c.state})
					for range 5 {
						b.second(3, 4)
					}
					is.Equal(len(b.View().Unavailable), 1)
					b.Record(&wire.Report{Server: "s3", Domain: "ikeja", Boot: boot + 3, Serial: 1, State: wire.State_STATE_OPEN})
					synctest.Wait()
					is.Equal(len(b.View().Servers), c.available) // at once
				}
			})
		})
	}
}

// TestSlowHeartbeatsDelayNoDetection lets calls to a server fail whose heartbeats
// are far apart. The time to detection depends on how long calls fail, not on the
// heartbeat interval.
func TestSlowHeartbeatsDelayNoDetection(t *testing.T) {
	for name, test := range map[string]struct {
		every    time.Duration
		fails    []time.Duration // after the report
		reportAt time.Duration   // time of a report in between; 0 if none
		at       time.Duration
		dead     int
	}{
		"fast, calls fail":               {500 * time.Millisecond, []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond}, 0, 5 * time.Second, 1},
		"slow, calls fail":               {20 * time.Second, []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond}, 0, 5 * time.Second, 1},
		"slowest, calls fail":            {time.Minute, []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond}, 0, 5 * time.Second, 1},
		"slow, calls failed briefly":     {20 * time.Second, []time.Duration{time.Second, 2 * time.Second}, 0, 3 * time.Second, 0},
		"slow, one call failed long ago": {20 * time.Second, []time.Duration{time.Second}, 0, 10 * time.Second, 0},
		"slow, a report in between":      {20 * time.Second, []time.Duration{time.Second, 2 * time.Second, 4500 * time.Millisecond}, 3 * time.Second, 5 * time.Second, 0},
		"slow, no call, not silent":      {20 * time.Second, nil, 0, 50 * time.Second, 0},
		"slow, one call, silent":         {20 * time.Second, []time.Duration{61 * time.Second}, 0, 62 * time.Second, 1},
		"slow, probes fail after a call": {20 * time.Second, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second}, 0, 6 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := New(Config{})
				defer w.Stop()
				for i := range 3 { // the other servers of the failure domain are alive
					w.Record(&wire.Report{Server: fmt.Sprint("other", i), Boot: 1, Serial: 1, EveryMs: time.Hour.Milliseconds()})
				}
				w.Record(&wire.Report{Server: "s", Boot: 1, Serial: 1, EveryMs: test.every.Milliseconds()})
				for _, f := range test.fails {
					time.AfterFunc(f, func() { w.RecordFailure("s") })
				}
				if test.reportAt > 0 {
					time.AfterFunc(test.reportAt, func() {
						w.Record(&wire.Report{Server: "s", Boot: 1, Serial: 2, EveryMs: test.every.Milliseconds()})
					})
				}
				time.Sleep(test.at)
				w.Tick()
				synctest.Wait()
				is.Equal(len(w.View().Unavailable), test.dead)
			})
		})
	}
}

func TestFailingServers(t *testing.T) {
	benched(t, 4, func(is *is.I, b *bench) {
		b.RecordFailure("s1")
		b.RecordFailure("s2")
		synctest.Wait()
		is.Equal(len(b.FailingServers(9)), 2)
		is.Equal(len(b.FailingServers(1)), 1)
		b.beat(4)
		is.Equal(len(b.FailingServers(9)), 0)
	})
}
