package sealer

import (
	"errors"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestOpen(t *testing.T) {
	key := NewKey()
	whole := Seal(key, Beat, 7, []byte("body"))
	changed := func(i int) []byte {
		d := slices.Clone(whole)
		d[i] ^= 1
		return d
	}
	for name, test := range map[string]struct {
		key       []byte
		direction Direction
		datagram  []byte
		ok        bool
	}{
		"unchanged":             {key, Beat, whole, true},
		"other key":             {NewKey(), Beat, whole, false},
		"reflected to sender":   {key, Ack, whole, false},
		"other session":         {key, Beat, changed(0), false},
		"other body":            {key, Beat, changed(sessionBytes), false},
		"other MAC":             {key, Beat, changed(len(whole) - 1), false},
		"truncated":             {key, Beat, whole[:len(whole)-1], false},
		"shorter than overhead": {key, Beat, whole[:Overhead-1], false},
		"empty":                 {key, Beat, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			body, err := Open(test.key, test.direction, test.datagram)
			is.Equal(err == nil, test.ok)
			if test.ok {
				is.Equal(string(body), "body")
				return
			}
			var forged *ForgedError
			is.True(errors.As(err, &forged))
		})
	}
}
