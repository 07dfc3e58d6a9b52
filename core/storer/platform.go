package storer

// Platform names the platform's services in a program's settings, each IP:PORT;
// those that are empty are not used.
type Platform struct {
	Table   string `toml:"table"`
	Objects string `toml:"objects"`
	List    string `toml:"list"`
}
