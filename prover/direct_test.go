package prover

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bamboohill/platform/rig"
	"bamboohill/standin/relayer"

	"github.com/matryer/is"
)

// deployment is a stand-in of a user's platform with its store and backend servers
// in the test process, and entries as processes.
type deployment struct {
	t       *testing.T
	store   *rig.Store
	engines []*rig.Server
	plain   []*rig.Server
	relays  []*relayer.Relay // one to the store per entry, then one to each server
	entries []*directEntry
}

// directEntry is one entry process. Its calls to the store pass through storeLink,
// which can refuse them.
type directEntry struct {
	t              *testing.T
	storeLink      *rig.Link
	callerAddress  string
	readyAddress   string
	metricsAddress string
	settings       string
	log            *output
	command        *exec.Cmd
	ended          chan error
}

// output collects the output of a process.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// API keys of the two client accounts of a deployment.
const (
	keptKey    = "kept"
	revokedKey = "revoked"
)

// desired returns the desired configuration with an account for each key.
func desired(version int, keys ...string) []byte {
	accounts := make([]string, len(keys))
	for i, k := range keys {
		accounts[i] = fmt.Sprintf(`{"name":"of-%s","apiKeys":[%q]}`, k, k)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"chat","host":"a.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":300,"targetGapMs":200,"service":"pool","maxAttempts":2,"resumable":true},
 {"name":"book","host":"a.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":3000,"service":"plain","maxAttempts":1}],
"services":[{"name":"pool","coldStartS":3,"coldPerS":36,"engine":{"slots":16,"kvCapacityTokens":450000,"stride":46,"step_ms":0.925,"per_seq_ms":0.00483,"context_per_k":0.00254,"read_per_s":256000,"pairs_per_m":0.0917,"chunk":2048}},{"name":"plain"}],
"limits":{"maxBodyBytes":4194304},"tenants":[%s]}`, version, strings.Join(accounts, ","))
}

// newDeployment starts a store, three engines, two plain servers and the given number
// of entries, and waits until the entries are ready.
func newDeployment(t *testing.T, entries int) *deployment {
	t.Helper()
	d := &deployment{t: t, store: rig.NewStore()}
	d.store.Put("op", "config", desired(1, keptKey, revokedKey))
	for n := range entries {
		d.entries = append(d.entries, d.newEntry(n, entries))
	}
	start := func(id, service string) *rig.Server {
		s, err := rig.StartServer(rig.ServerConfig{ID: id, Service: service, Store: d.store, Relay: d.relay, Events: 20, EventInterval: 10 * time.Millisecond, EventBytes: padding})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() }) // errors on closing don't affect the test
		return s
	}
	for i := range 3 {
		d.engines = append(d.engines, start(fmt.Sprintf("i-%d", i), "pool"))
	}
	for i := range 2 {
		d.plain = append(d.plain, start(fmt.Sprintf("p-%d", i), "plain"))
	}
	for _, e := range d.entries {
		e.start()
		t.Cleanup(e.kill)
	}
	for _, e := range d.entries {
		e.until("ready", e.isReady)
	}
	return d
}

// relay starts a relay to an address and returns the address of the relay.
func (d *deployment) relay(address string) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // it ends with the test
	if err != nil {
		return "", err
	}
	d.t.Cleanup(func() { _ = listener.Close() }) // errors on closing don't affect the test
	r := relayer.New(relayer.Config{Pick: relayer.FixedTarget(address)})
	d.relays = append(d.relays, r)
	go func() { _ = r.Serve(listener) }() // until the listener is closed
	return listener.Addr().String(), nil
}

// newEntry writes the settings of entry n of total. All entries use the same port for
// datagrams, on loopback addresses of their own.
func (d *deployment) newEntry(n, total int) *directEntry {
	d.t.Helper()
	e := &directEntry{t: d.t, storeLink: rig.NewLink(d.store), log: &output{}, settings: filepath.Join(d.t.TempDir(), "direct.toml")}
	linkServer := httptest.NewServer(e.storeLink)
	d.t.Cleanup(linkServer.Close)
	store, err := d.relay(linkServer.Listener.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	pid := os.Getpid()
	host := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+(pid/128+n/50)%250, 200+n%50) }
	at := func(port int) string { return net.JoinHostPort(host(n), fmt.Sprint(port)) }
	e.callerAddress, e.readyAddress, e.metricsAddress = at(21000), at(21001), at(21004)
	seeds := make([]string, total)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", net.JoinHostPort(host(i), "21002"))
	}
	text := fmt.Sprintf("offset_s = 0.0\nvm = \"front-%d\"\ndomain = \"north\"\nregion = \"home\"\ngrace_s = 6\nentries = [%s]\n[listen]\ncallers = %q\nready = %q\ncalls = %q\ndatagrams = %q\nmetrics = %q\n[platform]\nstore = %q\ndrain_ms = 2000\n",
		n, strings.Join(seeds, ","), e.callerAddress, e.readyAddress, at(21002), at(21003), e.metricsAddress, store)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return e
}

// start starts the process, or starts it again after it has ended.
func (e *directEntry) start() {
	e.t.Helper()
	e.command = exec.CommandContext(context.Background(), filepath.Join(programs, "entry"), "direct", "run", e.settings)
	e.command.Stdout, e.command.Stderr = e.log, e.log
	if err := e.command.Start(); err != nil {
		e.t.Fatal(err)
	}
	e.ended = make(chan error, 1)
	go func(c *exec.Cmd, ended chan error) { ended <- c.Wait() }(e.command, e.ended)
}

// setOffset changes the offset of the time of day, in seconds, from the next start on.
func (e *directEntry) setOffset(offset float64) {
	e.t.Helper()
	text, err := os.ReadFile(e.settings)
	if err != nil {
		e.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "\n")
	if err := os.WriteFile(e.settings, []byte(fmt.Sprintf("offset_s = %.3f\n%s", offset, rest)), 0o600); err != nil {
		e.t.Fatal(err)
	}
}

// kill ends the process with SIGKILL, as a crash does.
func (e *directEntry) kill() {
	if err := e.command.Process.Kill(); err == nil {
		<-e.ended
	}
}

// until waits until a condition holds. The test fails after about 20 seconds.
func (e *directEntry) until(what string, condition func() bool) {
	e.t.Helper()
	for range 5000 {
		if condition() {
			return
		}
		time.Sleep(4 * time.Millisecond)
	}
	e.t.Fatalf("timed out waiting for: %s\n%s", what, e.log)
}

// isReady reports whether the entry answers its readiness check.
func (e *directEntry) isReady() bool {
	status, _, err := get(e.readyAddress, "/readiness")
	return err == nil && status == http.StatusOK
}

func get(address, path string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// attemptCounter numbers the attempts of callers.
var attemptCounter struct {
	sync.Mutex
	n int
}

// nextAttempt returns the id of another attempt of a caller.
func nextAttempt() string {
	attemptCounter.Lock()
	defer attemptCounter.Unlock()
	attemptCounter.n++
	return fmt.Sprintf("at%d", attemptCounter.n)
}

// ask sends a caller's request and returns the status and the body.
func (e *directEntry) ask(path, key, body string) (int, string, error) {
	return e.askAs(nextAttempt(), path, key, body)
}

// askAs is ask with the id of the attempt.
func (e *directEntry) askAs(id, path, key, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+e.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = "a.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Deadline-Ms", "5000")
	if strings.HasPrefix(path, "/chat/") {
		r.Header.Set("Token-Usage", "2000,100")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// chat returns the complete stream of an engine for a request body.
func chat(body string) string {
	var all strings.Builder
	for n := 1; n <= 20; n++ {
		all.WriteString(rig.Padding(padding(body)) + rig.Event(n, body))
	}
	return all.String()
}

// longBody is the begin of the bodies of requests whose streams don't fit into the kernel's
// buffers of a connection.
const longBody = "long "

// padding returns the size of the comment before each event of the stream that answers a
// request.
func padding(body string) int {
	if strings.HasPrefix(body, longBody) {
		return 16 << 10
	}
	return 0
}

// checkServes checks that an entry answers both kinds of request.
func (e *directEntry) checkServes(is *is.I) {
	is.Helper()
	status, body, err := e.ask("/chat/x", keptKey, "hello")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, chat("hello"))
	status, body, err = e.ask("/book/x", keptKey, "seat 4")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, rig.Answer("POST", "/book/x", "seat 4"))
}

// TestDirect runs entries that call backend servers directly. It covers normal
// service, a store that refuses one entry, a restart while the store is unavailable,
// engines that crash, and a planned stop under load.
func TestDirect(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3)
	for _, e := range d.entries {
		e.checkServes(is)
	}
	status, text, err := get(d.entries[0].metricsAddress, "/")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, "sends_answered 2\n"))
	is.True(strings.Contains(text, "first_event_ms_p50 "))

	t.Run("store refuses one entry", func(t *testing.T) { d.storeRefusesOneEntry(t) })
	t.Run("restart without store", func(t *testing.T) { d.restartWithoutStore(t) })
	t.Run("engine crashes", func(t *testing.T) { d.engineCrashes(t) })
	t.Run("planned stop", func(t *testing.T) { d.plannedStop(t) })
}

// storeRefusesOneEntry revokes a key while the store refuses the calls of one entry.
// That entry must get the change from the other entries.
func (d *deployment) storeRefusesOneEntry(t *testing.T) {
	is := is.New(t)
	e := d.entries[0]
	e.storeLink.SetDown(true)
	e.until("the lost dependency is logged", func() bool { return strings.Contains(e.log.String(), "event=dependency-lost") })
	d.store.Put("op", "config", desired(2, keptKey))
	for _, e := range d.entries {
		e.until("the revoked key is refused", func() bool {
			status, _, err := e.ask("/chat/x", revokedKey, "hello")
			return err == nil && status == http.StatusUnauthorized
		})
	}
	is.True(strings.Contains(e.log.String(), "event=pulled"))
	e.checkServes(is)
	e.storeLink.SetDown(false)
	e.until("the restored dependency is logged", func() bool { return strings.Contains(e.log.String(), "event=dependency-back") })
}

// restartWithoutStore kills and restarts an entry while the store refuses all entries.
// The entry must get the current configuration and the servers from the other entries,
// and not start with an older configuration.
func (d *deployment) restartWithoutStore(t *testing.T) {
	is := is.New(t)
	e := d.entries[1]
	for _, other := range d.entries {
		other.storeLink.SetDown(true)
	}
	e.kill()
	e.start()
	e.until("ready", e.isReady)
	status, _, err := e.ask("/chat/x", revokedKey, "hello")
	is.NoErr(err)
	is.Equal(status, http.StatusUnauthorized)
	e.checkServes(is)
	for _, other := range d.entries {
		other.storeLink.SetDown(false)
	}
}

// engineCrashes lets an engine break off streams within an event, and servers close
// connections. Callers must still receive complete streams, and a booking whose
// outcome is unknown is not sent again.
func (d *deployment) engineCrashes(t *testing.T) {
	is := is.New(t)
	d.engines[0].AddFaults(rig.FaultMidEvent, rig.FaultClosed)
	d.plain[0].AddFaults(rig.FaultClosed)
	unknown := 0
	for range 9 {
		for _, e := range d.entries {
			status, body, err := e.ask("/chat/x", keptKey, "hello")
			is.NoErr(err)
			is.Equal(status, http.StatusOK)
			is.Equal(body, chat("hello"))
			status, _, err = e.ask("/book/x", keptKey, "seat 5")
			is.NoErr(err)
			if status == http.StatusBadGateway {
				unknown++
			}
		}
	}
	is.Equal(unknown, 1) // it may have run, so it is not sent again
	runs := 0
	for _, s := range d.plain {
		for _, r := range s.Runs() {
			if r.Body == "seat 5" {
				runs++
			}
		}
	}
	is.Equal(runs, 27)
}

// plannedStop stops an entry while it serves. It must stop being ready at once, and
// answer requests that still arrive until the balancer has noticed.
func (d *deployment) plannedStop(t *testing.T) {
	is := is.New(t)
	e := d.entries[2]
	type result struct {
		body string
		err  error
	}
	streams := make(chan result, 8)
	for range cap(streams) {
		go func() {
			_, body, err := e.ask("/chat/x", keptKey, "hello")
			streams <- result{body, err}
		}()
	}
	is.NoErr(e.command.Process.Signal(syscall.SIGTERM))
	e.until("not ready", func() bool { return !e.isReady() })
	status, body, err := e.ask("/chat/x", keptKey, "late")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, chat("late"))
	for range cap(streams) {
		r := <-streams
		is.NoErr(r.err)
		is.Equal(r.body, chat("hello"))
	}
	is.NoErr(<-e.ended) // exits 0
	e.ended <- nil      // for the clean-up
	is.True(strings.Contains(e.log.String(), "event=stopped"))
	d.entries[0].until("withdrawn", func() bool { return len(d.store.Rows("entries")) == 2 })
}

// TestDirectWithoutMetrics checks that an entry serves although the port of its
// metrics is in use.
func TestDirectWithoutMetrics(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	e := d.entries[0]
	e.kill()
	other, err := net.Listen("tcp4", e.metricsAddress) //nolint:noctx // it ends with the test
	is.NoErr(err)
	defer other.Close()
	e.start()
	e.until("ready", e.isReady)
	e.checkServes(is)
	is.True(strings.Contains(e.log.String(), "event=metrics-off"))
}

// TestDirectSettings checks that errors in the settings are reported with file and
// line.
func TestDirectSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "direct.toml")
	is.NoErr(os.WriteFile(path, []byte("vm = \"front\"\ndomain = \"north\"\ngrace_s = -1\n"), 0o600))
	out, err := exec.CommandContext(t.Context(), filepath.Join(programs, "entry"), "direct", "check", path).CombinedOutput()
	var exit *exec.ExitError
	is.True(errors.As(err, &exit))
	is.Equal(exit.ExitCode(), 2)
	is.True(strings.Contains(string(out), path+":3: grace_s: must be above 0 seconds"))
	is.True(strings.Contains(string(out), "platform.store"))
}
