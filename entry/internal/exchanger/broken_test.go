package exchanger

import (
	"errors"
	"net/netip"
	"testing"

	"bamboohill/core/scripter"
	"bamboohill/core/viewer"

	"github.com/matryer/is"
)

// state is the state of an entry that takes one snapshot only.
type state struct{}

func (state) Revision() viewer.Revision { return viewer.Revision{} }
func (state) Snapshot() ([]byte, error) { return nil, nil }
func (state) Restore(text []byte) error {
	if string(text) != "body" {
		return errors.New("not the snapshot")
	}
	return nil
}

// TestBrokenAnswersOfPeer checks that a state whose transfer is broken is not taken over.
func TestBrokenAnswersOfPeer(t *testing.T) {
	for name, test := range scripter.Cases("body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := scripter.Start(test.Config)
			is.NoErr(err)
			defer s.Close()
			e, err := New(Config{State: state{}, Datagrams: netip.MustParseAddrPort("127.0.0.1:0")})
			is.NoErr(err)
			defer e.socket.Close()
			is.Equal(e.fetch(t.Context(), s.Address()) == nil, test.Whole)
		})
	}
}
