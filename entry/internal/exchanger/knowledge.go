package exchanger

import (
	"time"

	"bamboohill/wire"
)

// Knowledge is one kind of knowledge that entries tell each other. Each kind has fields of
// its own in the datagram, which replace what the sender told before: a lost datagram is
// made up for by the next one. Encode and Apply may be called concurrently.
type Knowledge interface {
	// Encode adds what this entry knows first hand to a datagram to the entries of its cell.
	Encode(o *wire.Outstanding, now time.Time)
	// Apply applies a datagram of another entry. Datagrams of one entry are applied in the
	// order in which they were sent. Apply does not keep their Work, whose memory is used
	// again. An entry of another cell tells nothing.
	Apply(o *wire.Outstanding, now time.Time)
}

// sketch returns what the entries of other cells are sent of a datagram: the fields that
// count the sender, without Knowledge.
func sketch(o *wire.Outstanding) *wire.Outstanding {
	return &wire.Outstanding{
		Entry: o.Entry, Incarnation: o.Incarnation, Sequence: o.Sequence, Address: o.Address, Configuration: o.Configuration,
		Era: o.Era, ConfigurationNumber: o.ConfigurationNumber, Leaving: o.Leaving,
		Peers: o.Peers, Accusations: o.Accusations, Notices: o.Notices,
	}
}
