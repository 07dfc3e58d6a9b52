package exchanger

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"bamboohill/wire"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// accusationsOf returns accusations with a number of parts whose ids have the given length, and
// the pairs of their fingerprints and parts.
func accusationsOf(n, parts, bytes int) (all []*wire.Accusation, pairs []string) {
	for i := range n {
		a := &wire.Accusation{Fingerprint: fmt.Sprint("r", i), Server: "i-1", Boot: 7}
		for k := range parts {
			id := fmt.Sprintf("%0*d", bytes, k)
			pairs = append(pairs, a.GetFingerprint()+id)
			if k%3 == 0 {
				a.ServedParts = append(a.ServedParts, id)
			} else {
				a.Parts = append(a.Parts, id)
			}
		}
		all = append(all, a)
	}
	return all, pairs
}

// TestDivideAccusations guards against accusations that are lost as they don't fit into a
// datagram, which prompts with many parts are too large for.
func TestDivideAccusations(t *testing.T) {
	tests := map[string]struct{ accusations, parts, bytes int }{
		"none":                       {},
		"without parts":              {accusations: 100},
		"few parts":                  {accusations: 64, parts: 4, bytes: 8},
		"150 parts":                  {accusations: 64, parts: 150, bytes: 8},
		"parts of 64 bytes":          {accusations: 3, parts: 100, bytes: 64},
		"more than a datagram holds": {accusations: 2, parts: 4000, bytes: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all, want := accusationsOf(test.accusations, test.parts, test.bytes)
			var got []string
			fingerprints := map[string]bool{}
			for _, some := range divideAccusations(all) {
				is.True(len(some) <= maxAccusations)
				is.True(proto.Size(&wire.Outstanding{Accusations: some}) < maxDatagramBytes*3/4) // beside the rest of the message
				for _, a := range some {
					fingerprints[a.GetFingerprint()] = true
					is.Equal(a.GetServer(), "i-1")
					is.Equal(a.GetBoot(), uint64(7))
					for _, id := range slices.Concat(a.GetParts(), a.GetServedParts()) {
						got = append(got, a.GetFingerprint()+id)
					}
				}
			}
			slices.Sort(got)
			slices.Sort(want)
			is.Equal(strings.Join(got, " "), strings.Join(want, " "))
			is.Equal(len(fingerprints), test.accusations)
		})
	}
}
