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

// maxPrompt is the longest prompt that is taken, in bytes.
const maxPrompt = 64 << 20

// Counts is what an engine has seen since its start.
type Counts struct {
	Crashes    int     `json:"crashes"`
	PeakLoad   float64 `json:"worst"` // most jobs offered against what it bore
	Orders     int     `json:"orders"`
	Refused    int     `json:"refused"` // orders with an old number
	HeldOrders int     `json:"waiting"` // orders on their way, see Late
	Started    int64   `json:"started"` // jobs that reached it, in all
	Jobs       int     `json:"jobs"`
	Used       int64   `json:"used"`    // tokens of memory held
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
	json.NewEncoder(w).Encode(Counts{Crashes: e.crashes, PeakLoad: e.peakLoad, Orders: e.orders, Refused: e.staleOrders, HeldOrders: e.heldOrders, Started: e.arrived, Jobs: len(e.jobs), Used: e.used(), Swapped: e.swapped})
}

func (e *Engine) serveJobs(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := []generator.Held{}
	for _, j := range e.jobs {
		held = append(held, generator.Held{ID: j.ID, Tokens: j.held})
	}
	for handle, x := range e.exports {
		held = append(held, generator.Held{ID: handle, Tokens: x.tokens, Export: true})
	}
	json.NewEncoder(w).Encode(held)
}

func (e *Engine) serveEvents(w http.ResponseWriter, q *http.Request) {
	after, err := strconv.ParseUint(q.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "bad after", http.StatusBadRequest)
		return
	}
	if lag := e.Faults.Get(EventDelay); lag > 0 {
		time.Sleep(time.Duration(lag) * time.Millisecond)
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

// serveImport takes a cache that another engine exported: its handle and its
// length in tokens, as if the bytes had been copied.
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
	e.exports[q.FormValue("handle")] = export{tokens: tokens, prompt: tokens}
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

// holdOrder holds one order back while the fault late is on, whatever becomes of
// its sender.
func (e *Engine) holdOrder() {
	e.mu.Lock()
	caught := e.Faults.Get(HoldOrder) != 0 && e.heldOrders == 0
	if caught {
		e.heldOrders++
	}
	e.mu.Unlock()
	if !caught {
		return
	}
	for e.Faults.Get(HoldOrder) != 0 {
		time.Sleep(e.config.Step)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldOrders--
}

// applyOrder does what an order says. The number is looked at before the weights are
// fetched and again after: another order may have come meanwhile.
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
	e.orders++
	return nil
}

// checkFence refuses an old number, if the engine checks numbers, and notes a new
// one.
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

// loadWeights fetches the weights that the engine has not loaded yet.
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
	for _, have := range e.models {
		if have.Name == m.Name && have.Version == m.Version {
			return true
		}
	}
	return false
}
