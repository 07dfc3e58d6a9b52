package auditor

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const log = `
time=1 level=info program=entry event=ended id=a outcome=refused status=503 route=drafts cause="all backend servers are full"
  9.5 entry-1 time=2 level=info program=entry event=returned id=b route=drafts on_time=true
time=3 level=info program=entry event=ended id=b outcome=refused status=503 route=drafts cause="retry budget spent: connector: dial 10.1.1.1:80: refused"
time=4 level=info program=entry event=returned id=c route=drafts on_time=false
time=5 level=info program=entry event=ended id=c outcome=answered status=200 route=drafts late= cause=
time=6 level=info program=entry event=ended id=d outcome=refused status=413 route=drafts cause="body too large"
time=7 level=info program=entry event=ended id=e outcome=refused status=503 cause="no configuration yet"
time=8 level=info program=entry event=returned id=f route=drafts on_time=true
time=9 level=info program=entry event=ended id=f outcome=cut status=0 route=drafts cause="server broke off"
time=9 level=info program=entry event=returned id=g route=drafts on_time=true
time=9 level=info program=entry event=ended id=h outcome=answered status=200 route=reads cause=
`

func TestReturns(t *testing.T) {
	is := is.New(t)
	var r Returns
	is.NoErr(r.Read(strings.NewReader(log)))
	is.Equal(r.Counts(), []Count{
		{Kind: Kind{NoRoute, "503"}, Refused: 1},
		{Kind: Kind{"drafts", "413"}, Refused: 1},
		{Kind: Kind{"drafts", "503"}, Refused: 2, OnTime: 2, Early: 1, Again: 1, Served: 1},
	})
	is.Equal(r.Causes(), []Cause{
		{NoRoute, "no configuration yet", 1, 0},
		{"drafts", "all backend servers are full", 1, 0},
		{"drafts", "body too large", 1, 0},
		{"drafts", "retry budget spent: connector", 1, 1},
	})
}

func TestNothingRead(t *testing.T) {
	var r Returns
	is := is.New(t)
	is.Equal(len(r.Counts()), 0)
	is.Equal(len(r.Causes()), 0)
}
