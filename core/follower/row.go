package follower

import "bytes"

// Row is a row of a table.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"` // increases with every change in the store, within an era
	Era     int64  `json:"era,omitempty"`
	Written bool   `json:"written,omitempty"` // known to have been written in Era; otherwise the store may have kept it from before
	Deleted bool   `json:"deleted,omitempty"`
}

// equal reports whether both rows are the same version with the same content, in
// whichever era.
func (r Row) equal(other Row) bool {
	return r.Version == other.Version && r.Deleted == other.Deleted && bytes.Equal(r.Value, other.Value)
}

// Position is a point in the history of a store. Versions are comparable within an era:
// each time the store returns from an older copy, an era begins and the versions after
// that copy are given out again.
type Position struct {
	Era     int64
	Version int64
}
