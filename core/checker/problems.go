package checker

import "net/netip"

// Problems collects the faults that a settings struct finds in itself.
type Problems []Problem

// Require notes a fault under a dotted key unless ok holds.
func (p *Problems) Require(ok bool, key, allowed string) {
	if !ok {
		*p = append(*p, Problem{Key: key, Allowed: allowed})
	}
}

// Default sets a field that has its zero value.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IsAddress reports whether a text is IP:PORT.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// AreAddresses reports whether every text is IP:PORT.
func AreAddresses(list []string) bool {
	for _, a := range list {
		if !IsAddress(a) {
			return false
		}
	}
	return true
}
