// Package spawner runs actors: one goroutine that owns one piece of state and
// takes typed messages from a bounded mailbox, one at a time.
//
// # Usage
//
//	ref := spawner.Spawn(spawner.Config[Message]{Name: "view", Receive: view.receive})
//	defer ref.Stop()
//	ref.Tell(Message{...})
//
// Readers of an actor's state do not send to it: the owner publishes immutable
// snapshots through an atomic pointer.
//
// docs/design/actors.md says why this stands in place of an actor library.
package spawner

import (
	"sync"

	"github.com/rotisserie/eris"
)

// DefaultMailbox is how many messages a mailbox holds when Config says
// nothing.
const DefaultMailbox = 1024

// ErrStopped is returned for a message to an actor that has stopped.
var ErrStopped = eris.New("spawner: actor has stopped")

// Config describes an actor. The zero Mailbox means DefaultMailbox.
type Config[M any] struct {
	Name    string
	Mailbox int
	// Receive handles one message. It runs on the actor's goroutine alone.
	Receive func(M)
}

// Ref sends messages to one actor.
type Ref[M any] struct {
	name    string
	mailbox chan M
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// Spawn starts an actor. It panics if Receive is nil.
func Spawn[M any](config Config[M]) *Ref[M] {
	if config.Receive == nil {
		panic("spawner: nil receive")
	}
	if config.Mailbox <= 0 {
		config.Mailbox = DefaultMailbox
	}
	r := &Ref[M]{
		name:    config.Name,
		mailbox: make(chan M, config.Mailbox),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go r.run(config.Receive)
	return r
}

func (r *Ref[M]) run(receive func(M)) {
	defer close(r.done)
	for {
		select {
		case <-r.stop:
			return
		case m := <-r.mailbox:
			receive(m)
		}
	}
}

// Name returns the actor's name.
func (r *Ref[M]) Name() string { return r.name }

// Tell queues a message and waits while the mailbox is full. It returns
// ErrStopped when the actor has stopped.
func (r *Ref[M]) Tell(m M) error {
	select {
	case <-r.stop:
		return ErrStopped
	default:
	}
	select {
	case r.mailbox <- m:
		return nil
	case <-r.stop:
		return ErrStopped
	}
}

// Offer queues a message if the mailbox has room and reports whether it did.
func (r *Ref[M]) Offer(m M) bool {
	select {
	case r.mailbox <- m:
		return true
	default:
		return false
	}
}

// Stop ends the actor after the message in hand and waits for it. Messages
// still queued are dropped. Stop must not be called from Receive.
func (r *Ref[M]) Stop() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}
