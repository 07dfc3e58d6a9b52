package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crash"] = crash
	cases["engine"] = func() []string { streamForever(); return nil }
}

// plainLines is the number of lines of a plain answer.
const plainLines = 8

func plainLine(n int, attempt string) string {
	return fmt.Sprintf("line %d of the answer to %s: %s\n", n+1, attempt, strings.Repeat("x", 60))
}

// events of each stream, and the time between two.
const (
	crashEvents = 40
	crashGap    = 25 * time.Millisecond
)

// streamForever is a model engine in a process of its own. Its answers have neither a length
// nor chunks and end with their channel. It prints its address.
func streamForever() {
	address := os.Getenv("ENGINE_ADDRESS")
	l, err := net.Listen("tcp4", address)
	if err != nil {
		cannotRun(err.Error())
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			attempt, id := r.Header.Get("Attempt-Id"), os.Getenv("ENGINE_ID")
			if other := r.Header.Get("Expect-Instance"); other != "" && other != id {
				fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt, id)
				return
			}
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			fmt.Println(attempt)
			if r.Header.Get("Token-Usage") == "" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\nConnection: close\r\n\r\n", attempt, id)
				for n := range plainLines {
					io.WriteString(c, plainLine(n, attempt))
					time.Sleep(crashGap)
				}
				return
			}
			framing, frame, end := "", func(s string) string { return s }, ""
			if os.Getenv("CHUNKS") == "1" { // for comparison
				framing, end = "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"
				frame = func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: text/event-stream\r\n%sConnection: close\r\n\r\n", attempt, id, framing)
			for n := last + 1; n <= crashEvents; n++ {
				if _, err := io.WriteString(c, frame(event(n, string(body)))); err != nil {
					return
				}
				time.Sleep(crashGap)
			}
			io.WriteString(c, end)
		}()
	}
}

// child is an engine in a process of its own.
type child struct {
	id, service, zone, address string
	command                    *exec.Cmd
}

func (k *child) start(s *store) {
	k.command = exec.Command(os.Args[0], "engine")
	k.command.Env = append(os.Environ(), "ENGINE_ID="+k.id, "ENGINE_ADDRESS="+k.address)
	k.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, _ := k.command.StdoutPipe()
	if err := k.command.Start(); err != nil {
		cannotRun(err.Error())
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	k.address = strings.TrimSpace(lines.Text())
	go func() {
		for lines.Scan() {
			journal.note("ran at %s: %s", k.id, lines.Text())
		}
	}()
	k.register(s, time.Now(), 1)
}

func (k *child) register(s *store, born time.Time, sequence int) {
	text, _ := json.Marshal(map[string]any{"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": born.UnixMilli()})
	s.put("servers", k.id, text)
}

// crash kills one of six model engines every five seconds and starts it again two seconds
// later. Clients check whether a stream that ended as complete has its last piece.
func crash() []string {
	s := newStore()
	s.put("op", "config", []byte(desiredState))
	zones := []string{"nadi", "lautoka", "sigatoka"}
	var engines []*child
	for n := range 12 {
		k := &child{id: fmt.Sprintf("i-%d", n), service: "pool", zone: zones[n%3], address: "127.0.0.1:0"}
		if n >= 6 {
			k.id, k.service = fmt.Sprintf("b-%d", n-6), "bookings"
		}
		k.start(s)
		engines = append(engines, k)
		children = engines
	}
	entries := newEntries(s, 3, zones)
	running = entries
	for _, e := range entries {
		e.start()
	}
	for _, e := range entries {
		e.awaitReady()
	}
	var mu sync.Mutex
	var results []result
	bodies := map[string]string{}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 24 {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(*seed, uint64(100+n)))
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(50+random.IntN(200)) * time.Millisecond):
				}
				q := request{method: "POST", path: "/book/x", key: "key-one", body: fmt.Sprint(random.Uint64()), kind: "unsafe", limit: 3 * time.Second}
				if n%4 != 0 {
					q.path, q.kind, q.limit = "/chat/x", "stream", 10*time.Second
					q.header = map[string]string{"Token-Usage": "2000,1800", "Model": "m", "Prompt-Prefix": fmt.Sprintf("a%d:40,%x:1960", random.IntN(5), random.Uint64())}
				}
				x := c.ask(entries[n%len(entries)], q)
				mu.Lock()
				results = append(results, x)
				bodies[x.attempt] = q.body
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for _, k := range []*child{engines[0], engines[6], engines[1], engines[2], engines[8], engines[3], engines[4], engines[10]} {
		if trouble {
			k.command.Process.Kill()
			k.command.Wait()
			journal.note("%s has been killed", k.id)
		}
		time.Sleep(2 * time.Second)
		if trouble {
			k.start(s)
			journal.note("%s has started again", k.id)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	wait.Wait()
	var broken []string
	counts := map[string]int{}
	for _, x := range results {
		pieces, all, what := strings.Count(x.body, "\n\n"), crashEvents, "stream"
		if x.kind == "unsafe" {
			pieces, all, what = strings.Count(x.body, "\n"), plainLines, "booking"
		}
		journal.note("sent %.3f %s %s: %d, %d of %d pieces, ended as complete %v", since(x.sent), what, x.attempt, x.status, pieces, all, x.whole)
		counts[fmt.Sprintf("%s %d complete %v all pieces %v", what, x.status, x.whole, pieces == all)]++
		if x.status == 200 && x.whole && pieces < all {
			broken = append(broken, fmt.Sprintf("%s: the %s of %s, sent at %.3f, ended as complete after piece %d of %d", map[string]string{"stream": "ORDER", "booking": "MIXED"}[what], what, x.attempt, since(x.sent), pieces, all))
		}
	}
	journal.note("%v", counts)
	fmt.Println(counts)
	return broken
}
