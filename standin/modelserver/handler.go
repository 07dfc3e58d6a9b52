package modelserver

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bamboohill/core/generator"
)

// maxPrompt is the length of the longest accepted prompt in bytes.
const maxPrompt = 64 << 20

// Counts holds an engine's counters since its start and its current use.
type Counts struct {
	Crashes    int     `json:"crashes"`
	PeakLoad   float64 `json:"worst"` // highest ratio of concurrent jobs to the capacity
	Orders     int     `json:"orders"`
	Refused    int     `json:"refused"` // orders with an old fencing token
	HeldOrders int     `json:"waiting"` // orders that HoldOrder is holding now
	Started    int64   `json:"started"` // jobs received for a loaded model, also if memory was short
	Jobs       int     `json:"jobs"`
	Used       int64   `json:"used"`    // memory of jobs and exports in tokens
	Swapped    int64   `json:"swapped"` // chunks sent on another job's stream
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("GET /v1/jobs", e.serveJobs)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("GET /counts", e.serveCounts)
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("POST /v1/export", e.serveExport)
	mux.HandleFunc("POST /v1/import", e.serveImport)
	mux.HandleFunc("POST /v1/drop", e.serveDrop)
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	return mux
}

// writeError answers with a *generator.StatusError. It closes the connection
// without an answer on any other error, like an engine that crashed.
func writeError(w http.ResponseWriter, err error) {
	var status *generator.StatusError
	if errors.As(err, &status) {
		http.Error(w, status.Text, status.Code)
		return
	}
	panic(http.ErrAbortHandler)
}

func (e *Engine) serveStatus(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRestarting() {
		writeError(w, errRestarting)
		return
	}
	json.NewEncoder(w).Encode(e.status())
}

func (e *Engine) status() generator.Status {
	var queued float64
	for _, j := range e.jobs {
		queued += j.prefillLeft
	}
	return generator.Status{
		Boot: e.boot, Warm: e.warm, Memory: e.config.Memory, Free: e.config.Memory - e.used(),
		Running: len(e.jobs), Queued: int64(queued), Prefill: e.config.Prefill, Decode: e.config.Decode,
		Models: e.models, Role: e.role, Fencing: e.config.Fencing, Fence: e.fence,
	}
}

func (e *Engine) serveCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	json.NewEncoder(w).Encode(Counts{Crashes: e.crashes, PeakLoad: e.peakLoad, Orders: e.appliedOrders, Refused: e.staleOrders, HeldOrders: e.heldOrders, Started: e.arrivals, Jobs: len(e.jobs), Used: e.used(), Swapped: e.swappedChunks})
}

func (e *Engine) serveJobs(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := []generator.Allocation{}
	for _, j := range e.jobs {
		used = append(used, generator.Allocation{ID: j.ID, Tokens: j.memory})
	}
	for handle, x := range e.exports {
		used = append(used, generator.Allocation{ID: handle, Tokens: x.memory, Export: true})
	}
	json.NewEncoder(w).Encode(used)
}

func (e *Engine) serveEvents(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	if delay := e.Faults.Get(EventDelay); delay > 0 {
		time.Sleep(time.Duration(delay) * time.Millisecond)
	}
	gap := uint64(e.Faults.Get(EventLoss))
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []generator.Event{}
	for _, event := range e.cache.events {
		if event.Serial > after && (gap == 0 || event.Serial%gap != 0) {
			events = append(events, event)
		}
	}
	json.NewEncoder(w).Encode(events)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, q *http.Request) {
	var spec generator.Job
	if err := json.Unmarshal([]byte(q.Header.Get("Job")), &spec); err != nil {
		http.Error(w, "bad job", http.StatusBadRequest)
		return
	}
	prompt, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxPrompt))
	if err != nil {
		http.Error(w, "bad prompt", http.StatusBadRequest)
		return
	}
	j, err := e.start(spec, prompt)
	if err != nil {
		writeError(w, err)
		return
	}
	if e.Faults.Get(OrphanJobs) == 0 {
		defer e.cancel(j.ID)
	}
	e.stream(w, q, j)
}

// stream writes a job's chunks until its last one. It closes the connection
// without an end chunk if the job is removed.
func (e *Engine) stream(w http.ResponseWriter, q *http.Request, j *job) {
	flusher := http.NewResponseController(w)
	out := json.NewEncoder(w)
	w.WriteHeader(http.StatusOK)
	flusher.Flush()
	for {
		select {
		case <-q.Context().Done():
			return
		case c, open := <-j.chunks:
			if !open {
				panic(http.ErrAbortHandler)
			}
			if out.Encode(c) != nil {
				return
			}
			flusher.Flush()
			if c.End || c.Moved {
				return
			}
		}
	}
}

func (e *Engine) serveCancel(_ http.ResponseWriter, q *http.Request) {
	e.cancel(q.FormValue("id"))
}

func (e *Engine) serveExport(w http.ResponseWriter, q *http.Request) {
	cache, err := e.export(q.FormValue("id"))
	if err != nil {
		writeError(w, err)
		return
	}
	json.NewEncoder(w).Encode(cache)
}

// serveImport registers a KV cache that another engine exported, by its handle
// and its length in tokens. No bytes are copied.
func (e *Engine) serveImport(w http.ResponseWriter, q *http.Request) {
	tokens, err := strconv.ParseInt(q.FormValue("tokens"), 10, 64)
	if err != nil || tokens < 0 {
		http.Error(w, "bad tokens", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRestarting() {
		writeError(w, errRestarting)
		return
	}
	if e.used()+tokens > e.config.Memory {
		writeError(w, errMemory)
		return
	}
	e.exports[q.FormValue("handle")] = export{memory: tokens, prefilled: tokens}
	e.cache.shrink(e.config.Memory - e.used())
}

func (e *Engine) serveDrop(_ http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.exports, q.FormValue("handle"))
}

func (e *Engine) serveOrder(w http.ResponseWriter, q *http.Request) {
	var order generator.Order
	if err := json.NewDecoder(q.Body).Decode(&order); err != nil {
		http.Error(w, "bad order", http.StatusBadRequest)
		return
	}
	e.holdOrder()
	if err := e.applyOrder(q, order); err != nil {
		writeError(w, err)
	}
}

// holdOrder blocks one order while the fault late is on, even if its sender
// disconnects. Orders that arrive meanwhile pass.
func (e *Engine) holdOrder() {
	e.mu.Lock()
	hold := e.Faults.Get(HoldOrder) != 0 && e.heldOrders == 0
	if hold {
		e.heldOrders++
	}
	e.mu.Unlock()
	if !hold {
		return
	}
	for e.Faults.Get(HoldOrder) != 0 {
		time.Sleep(e.config.Step)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldOrders--
}

// applyOrder loads the models of an order and sets the engine's role. It checks
// the fencing token before and after the load, because a newer order may arrive
// while the weights load.
func (e *Engine) applyOrder(q *http.Request, order generator.Order) error {
	if err := e.checkFence(order.Fence); err != nil {
		return err
	}
	if err := e.loadWeights(q, order.Models); err != nil {
		return err
	}
	if err := e.checkFence(order.Fence); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = order.Models
	e.role = order.Role
	e.appliedOrders++
	return nil
}

// checkFence returns errStaleFence if the engine checks fencing tokens and fence
// is older than the newest one. Otherwise it records fence.
func (e *Engine) checkFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.config.Fencing && fence < e.fence {
		e.staleOrders++
		return errStaleFence
	}
	e.fence = max(e.fence, fence)
	return nil
}

// loadWeights fetches the weights of the models that are not loaded yet. It
// returns a *generator.StatusError if the weight store is unreachable (502) or
// refuses the load (429).
func (e *Engine) loadWeights(q *http.Request, models []generator.Model) error {
	if e.config.WeightStore == "" {
		return nil
	}
	for _, m := range models {
		if e.isLoaded(m) {
			continue
		}
		fetch, err := http.NewRequestWithContext(context.WithoutCancel(q.Context()), http.MethodGet, "http://"+e.config.WeightStore+"/weights/"+m.Name, nil)
		if err != nil {
			return err
		}
		r, err := http.DefaultClient.Do(fetch)
		if err != nil {
			return &generator.StatusError{Code: http.StatusBadGateway, Text: "weight store away"}
		}
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
		if r.StatusCode != http.StatusOK {
			return &generator.StatusError{Code: http.StatusTooManyRequests, Text: "weight store over its rate"}
		}
	}
	return nil
}

func (e *Engine) isLoaded(m generator.Model) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, current := range e.models {
		if current.Name == m.Name && current.Version == m.Version {
			return true
		}
	}
	return false
}
