package tallier

// RecordWrite records that n bytes are being written to a backend server.
func (t *Tallier) RecordWrite(server string, n int64) { t.addServer(server, n) }

// RecordWritten records that a write of n bytes to a backend server has ended.
func (t *Tallier) RecordWritten(server string, n int64) { t.addServer(server, -n) }

func (t *Tallier) addServer(server string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.servers[server] += n; t.servers[server] <= 0 {
		delete(t.servers, server)
	}
}

// ReadsSlowly reports whether a backend server has not taken more bytes than one server may
// leave waiting, so that no more bodies should be sent to it.
func (t *Tallier) ReadsSlowly(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.server > 0 && t.servers[server] > t.server
}
