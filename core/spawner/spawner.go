// Package spawner runs actors. An actor is a goroutine that owns some state and
// processes typed messages from a bounded mailbox, one at a time.
//
// # Usage
//
//	ref := spawner.Spawn(spawner.Config[Message]{Name: "view", Receive: view.receive})
//	defer ref.Stop()
//	ref.Send(Message{...})
//
// Readers of an actor's state send it no messages: the actor publishes immutable
// snapshots through an atomic pointer.
//
// docs/design/actors.md explains why the project uses this package instead of an
// actor library.
package spawner

import (
	"sync"

	"github.com/rotisserie/eris"
)

// DefaultMailbox is the default capacity of a mailbox in messages.
const DefaultMailbox = 1024

// ErrStopped is returned for a message to an actor that has stopped.
var ErrStopped = eris.New("spawner: actor has stopped")

// Config describes an actor. The zero Mailbox means DefaultMailbox.
type Config[M any] struct {
	Name    string
	Mailbox int // capacity in messages
	// Receive handles one message. It runs only on the actor's goroutine.
	Receive func(M)
}

// Ref is a reference to an actor. It is safe for concurrent use.
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

// Send queues a message and blocks while the mailbox is full. It returns
// ErrStopped if the actor has stopped.
func (r *Ref[M]) Send(m M) error {
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

// TrySend queues a message without blocking. It returns false if the mailbox is
// full. It does not report whether the actor has stopped, in which case the message
// is dropped.
func (r *Ref[M]) TrySend(m M) bool {
	select {
	case r.mailbox <- m:
		return true
	default:
		return false
	}
}

// Stop stops the actor and waits until it has processed its current message.
// Queued messages are dropped. Stop must not be called from Receive.
func (r *Ref[M]) Stop() {
	r.once.Do(func() { close(r.stop) })
	<-r.done
}
