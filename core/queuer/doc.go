// Package queuer orders requests that wait at an entry for room at backend servers. It is
// designed for a shortage in which requests of different urgency and size compete: bursts
// of short urgent prompts beside large prompts that tolerate longer waits, and calls to a
// few plain servers whose slots are all taken.
//
// A Queue holds the waiting requests of one service, ordered by rank, by how far their
// account exceeds its share, by whether their caller has come back when it was told to, and
// by the time until which they can wait. A Sweep decides which of them are tried when room
// may have become free: one that can't be placed stops those behind it that need at least
// as much room, but not smaller ones. No request starves: after half of its patience it
// counts as one of the most urgent, and then the first such request keeps smaller ones from
// taking the room that it waits for, for a bounded time.
//
// A Board holds how many requests wait at each entry, so that an entry can leave room to
// more urgent requests elsewhere. Promises holds the refused callers that were told when to
// come back.
//
// Nothing here has side effects beyond its own state. The clock is passed in.
//
// # Usage
//
//	q := queuer.New[string](queuer.Limits{Requests: 256})
//	rejected := q.Add(queuer.Request{Rank: 1, Kind: "reports", Size: 45_000, Arrived: now, Patience: time.Second}, "id", now)
//	s := q.Sweep(now)
//	for w := s.Next(); w != nil; w = s.Next() {
//		if tryToPlace(w.Value) {
//			s.Placed()
//			q.Remove(w)
//		} else {
//			s.Stop()
//		}
//	}
package queuer
