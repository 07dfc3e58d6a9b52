package estimator_test

import (
	"errors"
	"strings"
	"testing"

	"bamboohill/load/internal/estimator"

	"github.com/matryer/is"
)

func slopes(value float64) estimator.Slopes {
	s := estimator.Slopes{}
	for name := range estimator.Tolerances {
		s[name] = value
	}
	return s
}

func TestLines(t *testing.T) {
	is := is.New(t)
	values := map[string]estimator.Line{}
	for _, l := range estimator.Lines(slopes(100), estimator.TargetSize) {
		values[l.Role+"/"+l.Quantity] = l
	}
	is.Equal(int(values["entry/sidecars_heard"].Value), 141) // 12000 x 4 / 340
	// 3000 - 2 x 100 / 10 (gossip) - 362 (pushes) - 4 (calls) leave 2614 B/s.
	is.Equal(int(values["entry/heartbeat_bytes"].Value), 2614)
	is.Equal(int(10*values["entry/heartbeat_period"].Value), 54) // 141 x 100 / 2614
	is.Equal(int(values["entry/control_bytes"].Value+0.5), 3000)
	is.Equal(int(values["domain_lost/asks_in_the_minute"].Value), 80) // 8 x 4 + 8 x 6
	is.Equal(int(values["domain_lost/servers_lost_of_heard"].Value), 14)
	is.Equal(int(values["apart/changes_missed"].Value), 958)
	is.Equal(int(values["table/head_reads"].Value), 740)     // 340 + 12000 / 30 s + 40 / 60 s
	is.Equal(int(values["entry/control_memory"].Value), 106) // 100 MB and 6 MB of accounts
	is.Equal(int(values["domain_lost/requests_a_second_moved"].Value), 870)
	is.True(!values["entry/control_core"].Fits() || values["entry/control_core"].Value <= 0.025)
}

func TestPage(t *testing.T) {
	page, err := estimator.ReplaceSection("# Capacity\n<!-- capacity: made by make capacity -->\n<!-- capacity: end -->\nmore\n", slopes(100), estimator.TargetSize)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		page     string
		measured estimator.Slopes
		ok       bool
	}{
		"as written":       {page: page, measured: slopes(100), ok: true},
		"within tolerance": {page: page, measured: slopes(105), ok: true},
		"slopes differ":    {page: page, measured: slopes(1000)},
		"line edited":      {page: strings.Replace(page, "unit=B/s budget=3000 fits=true", "unit=B/s budget=4000 fits=true", 1), measured: slopes(100)},
		"slope edited":     {page: strings.Replace(page, "slope=beat_bytes value=100", "slope=beat_bytes value=101", 1), measured: slopes(100)},
		"section missing":  {page: "# Capacity\n", measured: slopes(100)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := estimator.Check(test.page, test.measured, estimator.TargetSize)
			var bad *estimator.PageError
			is.Equal(err == nil, test.ok)
			is.Equal(errors.As(err, &bad), !test.ok)
		})
	}
}

func TestMissingSlope(t *testing.T) {
	is := is.New(t)
	_, err := estimator.Read(strings.NewReader("slope=beat_bytes value=600\n"))
	var missing *estimator.MissingError
	is.True(errors.As(err, &missing))
}
