package viewer

// Revision says how new the operators' rows are that a process knows.
type Revision struct {
	Era           int64 // of the store
	Version       int64 // largest version of the rows within the era
	Configuration int64 // number that the operators gave the active configuration
}

// Behind reports whether a process with revision r misses something that one with
// revision other knows. After the store has returned from an older copy, a process that
// has not read it since may know a newer configuration.
func (r Revision) Behind(other Revision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Version < other.Version || r.Configuration < other.Configuration
}
