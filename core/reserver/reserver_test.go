package reserver

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/wire"

	"github.com/matryer/is"
)

// fleet is a set of sidecars that accept one reservation each.
type fleet struct {
	mu     sync.Mutex
	until  map[string]time.Time // end of the lease by address
	holder map[string]string
	down   map[string]bool
}

func newFleet() *fleet {
	return &fleet{until: map[string]time.Time{}, holder: map[string]string{}, down: map[string]bool{}}
}

var errDown = errors.New("dead")

// call simulates the network delay of a call to a sidecar, and locks the fleet
// until the returned function is called. It returns an error if the sidecar is
// down.
func (f *fleet) call(ctx context.Context, address string) (func(), error) {
	select {
	case <-time.After(time.Millisecond):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	f.mu.Lock()
	if f.down[address] {
		f.mu.Unlock()
		return nil, errDown
	}
	if f.holder[address] != "" && time.Now().After(f.until[address]) {
		f.holder[address] = ""
	}
	return f.mu.Unlock, nil
}

func (f *fleet) Reserve(ctx context.Context, address string, q *wire.ReserveRequest) (*wire.ReserveReply, error) {
	done, err := f.call(ctx, address)
	if err != nil {
		return nil, err
	}
	defer done()
	if f.holder[address] != "" && f.holder[address] != q.GetGang() {
		return &wire.ReserveReply{Reason: wire.Reason_REASON_MEMORY, RetryMs: 10}, nil
	}
	f.holder[address] = q.GetGang()
	f.until[address] = time.Now().Add(time.Duration(q.GetLeaseMs()) * time.Millisecond)
	return &wire.ReserveReply{Held: true}, nil
}

func (f *fleet) Renew(ctx context.Context, address string, q *wire.RenewRequest) (*wire.ReserveReply, error) {
	done, err := f.call(ctx, address)
	if err != nil {
		return nil, err
	}
	defer done()
	if f.holder[address] != q.GetGang() {
		return &wire.ReserveReply{}, nil
	}
	f.until[address] = time.Now().Add(time.Duration(q.GetLeaseMs()) * time.Millisecond)
	return &wire.ReserveReply{Held: true}, nil
}

func (f *fleet) Release(ctx context.Context, address string, q *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	done, err := f.call(ctx, address)
	if err != nil {
		return nil, err
	}
	defer done()
	if f.holder[address] == q.GetGang() {
		f.holder[address] = ""
	}
	return &wire.ReleaseReply{}, nil
}

func (f *fleet) held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for address, gang := range f.holder {
		if gang != "" && !time.Now().After(f.until[address]) {
			n++
		}
	}
	return n
}

func (f *fleet) setDown(address string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[address] = down
}

// members returns the members with the given numbers, in that order.
func members(numbers ...int) []Member {
	var all []Member
	for _, n := range numbers {
		name := fmt.Sprint("m", n)
		all = append(all, Member{Server: identifier.Server(name), VM: identifier.VM("vm-" + name), Address: name})
	}
	return all
}

// TestNoDeadlock checks that two to four gangs that want overlapping members in
// random order all get them eventually, and that no reservation is left.
func TestNoDeadlock(t *testing.T) {
	for gangs := 2; gangs <= 4; gangs++ {
		t.Run(fmt.Sprint(gangs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet()
				start := time.Now()
				var all sync.WaitGroup
				for i := range gangs {
					random := rand.New(rand.NewPCG(uint64(i), uint64(gangs)))
					all.Go(func() {
						for done := 0; done < 20; {
							g, err := Reserve(t.Context(), Config{Client: f, Gang: fmt.Sprint(i, done)}, members(random.Perm(5)[:3]...))
							if err != nil {
								time.Sleep(time.Duration(1+random.IntN(20)) * time.Millisecond)
								continue
							}
							time.Sleep(5 * time.Millisecond)
							g.Release()
							done++
						}
					})
				}
				all.Wait()
				is := is.New(t)
				is.Equal(f.held(), 0)
				is.True(time.Since(start) < time.Minute)
			})
		})
	}
}

// TestMemberFails checks that a failed member ends the gang within two leases, and
// that the other reservations are released.
func TestMemberFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		g, err := Reserve(t.Context(), Config{Client: f, Gang: "a"}, members(2, 0, 1))
		is.NoErr(err)
		is.Equal(g.Members()[0].Server, identifier.Server("m0")) // in the order of VM ids
		time.Sleep(time.Minute)
		is.Equal(f.held(), 3) // renewed
		start := time.Now()
		f.setDown("m1", true)
		<-g.Lost()
		is.True(time.Since(start) <= 2*defaultLease)
		g.Release()
		time.Sleep(defaultLease)
		is.Equal(f.held(), 0)
	})
}

// TestMemberLosesReservation checks that the gang ends with the next renewal if a
// member reports that it holds no reservation, as after a crash of its engine.
func TestMemberLosesReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		g, err := Reserve(t.Context(), Config{Client: f, Gang: "a"}, members(0, 1))
		is.NoErr(err)
		f.Release(t.Context(), "m1", &wire.ReleaseRequest{Gang: "a"})
		start := time.Now()
		<-g.Lost()
		is.True(time.Since(start) <= defaultLease)
		g.Release()
	})
}

// TestRefusalReleasesAll checks that the first refusal releases the reservations
// made so far, including that of a member whose reply was lost.
func TestRefusalReleasesAll(t *testing.T) {
	tests := map[string]func(f *fleet){
		"busy": func(f *fleet) {
			f.Reserve(context.Background(), "m1", &wire.ReserveRequest{Gang: "other", LeaseMs: 60_000})
		},
		"dead": func(f *fleet) { f.setDown("m1", true) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet()
				prepare(f)
				before := f.held()
				_, err := Reserve(t.Context(), Config{Client: f, Gang: "a"}, members(0, 1, 2))
				var refused *RefusedError
				is.True(errors.As(err, &refused))
				is.Equal(refused.Member.Server, identifier.Server("m1"))
				is.True(refused.RetryAfter > 0)
				is.Equal(f.held(), before)
			})
		})
	}
}

// TestCallerPaused checks that the reservations of a process that is paused for
// longer than the lease expire, and that the reply to its next renewal says so.
func TestCallerPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet()
		for rank, m := range members(0, 1) { // reserved, but never renewed
			f.Reserve(t.Context(), m.Address, &wire.ReserveRequest{Gang: "paused", Rank: int32(rank), LeaseMs: 3000})
		}
		time.Sleep(3*time.Second + time.Millisecond)
		is.Equal(f.held(), 0)
		g, err := Reserve(t.Context(), Config{Client: f, Gang: "next"}, members(0, 1))
		is.NoErr(err)
		reply, err := f.Renew(t.Context(), "m0", &wire.RenewRequest{Gang: "paused", LeaseMs: 3000})
		is.NoErr(err)
		is.True(!reply.GetHeld())
		g.Release()
	})
}

func TestTokensPerMember(t *testing.T) {
	is := is.New(t)
	is.Equal(TokensPerMember(1000, 10, 1), int64(1010))
	is.Equal(TokensPerMember(1001, 10, 2), int64(511))
}
