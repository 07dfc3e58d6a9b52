package certifier

import "time"

// Files names the PEM files of a process in its settings: its certificate, with
// its role as organizational unit, its key, and the authority that signs the
// other processes' certificates. All empty means plain connections.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	Every       int    `toml:"every"` // milliseconds between looks at the files
}

// Whole reports whether all of the files are named, or none.
func (f Files) Whole() bool {
	return (f.Certificate == "") == (f.Key == "") && (f.Key == "") == (f.Authority == "")
}

// Store reads the files; it is nil when none is named.
func (f Files) Store(reloaded func(error)) (*Store, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	return New(Config{
		Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Every: time.Duration(f.Every) * time.Millisecond, Reloaded: reloaded,
	})
}
