package forwarder_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKindsAreMetered checks the metrics of the kinds: their limits and what was seen of
// their requests.
func TestKindsAreMetered(t *testing.T) {
	is := is.New(t)
	b := newBench(t, 1, 0)
	for range 10 {
		answer, _, err := b.do(b.request("POST", "/chat/x", "hello"))
		is.NoErr(err)
		is.Equal(answer.StatusCode, 200)
	}
	b.entry.MeterKinds(time.Now())
	var out bytes.Buffer
	b.entry.Meter.Write(&out)
	t.Log(out.String())
	for _, line := range []string{"kind_0_samples 0\n", "kind_0_target_ms 300\n", "kind_1_pause_ms 200\n", "kind_1_prompt_tokens 1000\n", "kind_1_samples 10\n"} {
		is.True(strings.Contains(out.String(), line))
	}
}
