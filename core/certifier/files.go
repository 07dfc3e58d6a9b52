package certifier

import "time"

// Files is the settings table with a process's PEM files: its certificate, which
// has the process's role as organizational unit, its key, and the authority that
// signs the certificates of the other processes. If all are empty, connections
// are not encrypted.
type Files struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	Interval    int    `toml:"every"` // milliseconds between two checks of the files
}

// Complete reports whether either all of the files are named or none.
func (f Files) Complete() bool {
	return (f.Certificate == "") == (f.Key == "") && (f.Key == "") == (f.Authority == "")
}

// Store returns a Store of the files, or nil if none is named.
func (f Files) Store(onReload func(error)) (*Store, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	return New(Config{
		Certificate: f.Certificate, Key: f.Key, Authority: f.Authority, Interval: time.Duration(f.Interval) * time.Millisecond, OnReload: onReload,
	})
}
