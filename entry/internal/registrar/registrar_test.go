package registrar_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"bamboohill/entry/internal/registrar"
	"bamboohill/wire"

	"github.com/matryer/is"
)

func TestRegistrar(t *testing.T) {
	is := is.New(t)
	r := registrar.New(registrar.Config{})
	web := httptest.NewServer(r.Handler())
	defer web.Close()
	c := wire.NewClaimsProtobufClient(web.URL, http.DefaultClient)
	ctx := context.Background()
	claim := func(server string) *wire.ClaimReply {
		reply, err := c.Claim(ctx, &wire.ClaimRequest{Fingerprint: "f", Server: server, Attempt: server, LeaseMs: 1 << 60})
		is.NoErr(err)
		return reply
	}
	for _, server := range []string{"a", "b"} {
		is.True(claim(server).GetHeld())
	}
	is.Equal(claim("c").GetServers(), []string{"a", "b"})
	for _, server := range []string{"a", "b"} {
		_, err := c.Settle(ctx, &wire.SettleRequest{Fingerprint: "f", Attempt: server, Settlement: wire.Settlement_SETTLEMENT_CRASHED})
		is.NoErr(err)
	}
	is.True(!claim("c").GetHeld()) // two crashes
	r.Pardon([]string{"f", "unknown"})
	is.True(claim("c").GetHeld())
	_, err := c.Settle(ctx, &wire.SettleRequest{Fingerprint: "f", Attempt: "c", Settlement: wire.Settlement_SETTLEMENT_ENDED})
	is.NoErr(err)
	is.Equal(r.Len(), 0)
	_, err = c.Claim(ctx, &wire.ClaimRequest{Fingerprint: "f"})
	is.True(err != nil)
}
