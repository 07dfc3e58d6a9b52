package checker

import "net/netip"

// Problems collects the problems found by the Check method of a settings struct.
type Problems []Problem

// Require adds a problem with a dotted key unless ok is true.
func (p *Problems) Require(ok bool, key, allowed string) {
	if !ok {
		*p = append(*p, Problem{Key: key, Allowed: allowed})
	}
}

// Default sets a field to value if it has its zero value.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// IsAddress reports whether a text has the form IP:PORT.
func IsAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// broadcast is the address of all machines of a network.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsMachine reports whether a text has the form IP:PORT of a process that can be called: the
// IPv4 address of one machine and a port from 1, in their usual form.
func IsMachine(text string) bool {
	a, err := netip.ParseAddrPort(text)
	ip := a.Addr()
	return err == nil && ip.Is4() && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast && a.Port() != 0 && a.String() == text
}

// AreAddresses reports whether every text has the form IP:PORT.
func AreAddresses(list []string) bool {
	for _, a := range list {
		if !IsAddress(a) {
			return false
		}
	}
	return true
}
