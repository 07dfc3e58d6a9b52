package storer

// Platform holds the addresses of the platform's services in a program's
// settings, each as IP:PORT. A service with an empty address is not used.
type Platform struct {
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	List    string `toml:"list"`
}
