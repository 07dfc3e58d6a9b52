package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/keeper"
	"bamboohill/core/router"
	"bamboohill/entry/internal/aborter"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Dispatcher executes an accepted request until it has a result.
type Dispatcher interface {
	Do(ctx context.Context, q *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result
}

// Config describes a Receiver.
type Config struct {
	Keeper         *keeper.Keeper
	Dispatcher     Dispatcher
	Log            *log.Logger
	MaxBody        int64         // maximum size of one body in bytes
	MaxMemory      int64         // maximum total size of the bodies in memory, in bytes
	DefaultTimeout time.Duration // if neither the caller nor its plan sets a timeout
	StallTimeout   time.Duration // maximum time between two reads of a body; 0 means 10 s
}

// Receiver serves the HTTP API for callers.
type Receiver struct {
	counts     counts
	config     Config
	bodies     *budget
	stop       atomic.Pointer[stop]                 // nil while any request is accepted
	unanswered aborter.Aborter[*dispatcher.Request] // requests whose answers have not begun
}

// New returns a receiver.
func New(config Config) *Receiver {
	if config.StallTimeout <= 0 {
		config.StallTimeout = defaultStallTimeout
	}
	return &Receiver{config: config, bodies: &budget{limit: config.MaxMemory}}
}

// Handler returns the HTTP interface.
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, q *http.Request) { r.serveCompletion(w, q, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { r.serveCompletion(w, q, true) })
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", r.serveService)
	return r.limitBodyTime(mux)
}

// limitBodyTime sets a read deadline before a handler runs. Without it a caller
// that stops sending could block an early refusal, as the server reads the
// rest of the body before it sends the response.
func (r *Receiver) limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.ContentLength != 0 {
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.config.StallTimeout))
		}
		next.ServeHTTP(w, q)
	})
}

// startRequest assigns the id of a request, authenticates its caller and sets
// its deadline.
func (r *Receiver) startRequest(w http.ResponseWriter, q *http.Request) (*dispatcher.Request, *Failure) {
	id := identifier.New[identifier.Request]()
	w.Header().Set(RequestHeader, string(id))
	account, plan, f := r.authenticate(w, q)
	if f != nil {
		return nil, f
	}
	timeout, f := r.timeout(q, plan)
	if f != nil {
		return nil, f
	}
	deadline := time.Now().Add(timeout)
	// Aborts the response to a caller that does not read, writeGrace after the
	// deadline.
	http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
	return &dispatcher.Request{ID: id, Account: account, Plan: plan, Deadline: deadline}, nil
}

func (r *Receiver) authenticate(w http.ResponseWriter, q *http.Request) (*wire.Account, *wire.Plan, *Failure) {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, nil, denied(http.StatusUnauthorized, "no_key", "want Authorization: Bearer KEY")
	}
	if !r.config.Keeper.Ready() {
		return nil, nil, unavailable("not_ready", "this entry has no configuration yet", time.Second)
	}
	account, plan, err := r.config.Keeper.State().Identify(key)
	if err != nil {
		return nil, nil, denied(http.StatusUnauthorized, "bad_key", "key is not in force")
	}
	if !keeper.Fresh(plan, r.config.Keeper.Confirmed(), time.Now()) {
		if plan.GetRefuseStale() {
			return nil, nil, unavailable("stale_configuration", "the plan's bound on an unconfirmed configuration has passed", staleRetryAfter)
		}
		w.Header().Set(StaleHeader, "true")
	}
	return account, plan, nil
}

// permissionCheck returns a function that returns the sequence number of the active
// configuration and reports whether the caller's key is still valid and its plan
// still allows the request.
func (r *Receiver) permissionCheck(q *http.Request, allows func(*wire.Plan) bool) func() (uint64, bool) {
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	return func() (uint64, bool) {
		s := r.config.Keeper.State()
		_, plan, err := s.Identify(key)
		return s.Sequence, err == nil && allows(plan)
	}
}

// staleRetryAfter is the advised delay before a retry for a caller whose plan
// refuses requests while the configuration is unconfirmed.
const staleRetryAfter = 5 * time.Second

// timeout returns how long a request may take: the header of the caller in
// seconds, else the timeout of the plan, else that of the entry.
func (r *Receiver) timeout(q *http.Request, plan *wire.Plan) (time.Duration, *Failure) {
	if text := q.Header.Get(TimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
			return 0, invalidRequest("bad_timeout", TimeoutHeader+" must be seconds above 0, at most 3600")
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	if plan.GetTimeoutMs() > 0 {
		return time.Duration(plan.GetTimeoutMs()) * time.Millisecond, nil
	}
	return r.config.DefaultTimeout, nil
}

// writeGrace is the time after the deadline of a request in which its response
// may still be written.
const writeGrace = time.Second

// maxKeyBytes is the maximum length of an idempotency key.
const maxKeyBytes = 255

// maxTimeout is the maximum timeout that a caller may request.
const maxTimeout = time.Hour

func (r *Receiver) serveCompletion(w http.ResponseWriter, q *http.Request, chat bool) {
	request, f := r.startRequest(w, q)
	if f != nil {
		r.refuse(w, f)
		return
	}
	reserved := &reservation{budget: r.bodies}
	defer reserved.releaseAll()
	p, f := r.readPrompt(w, q, request, chat, reserved)
	if f != nil {
		r.refuse(w, f)
		return
	}
	request.Payload = p.prompt
	request.Call = wire.Call_CALL_REPEATABLE
	request.Job = router.Job{
		Kind: wire.Kind_KIND_MODEL, Model: p.model, Version: p.version, Adapter: p.adapter,
		Prompt: int64(len(p.prompt)+tokenBytes-1) / tokenBytes, Answer: p.maxTokens,
	}
	request.Permitted = r.permissionCheck(q, func(plan *wire.Plan) bool { return keeper.Allows(plan, p.model, p.version, p.adapter) })
	sink := newModelSink(w, p, completion{ID: string(request.ID), Created: time.Now().Unix(), Model: p.model})
	sink.begin = r.beginningOf(request)
	result, f := r.run(q, request, sink)
	if f != nil {
		r.refuse(w, f)
		return
	}
	r.logResult(request, result)
	if result.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		sink.finish(result)
		return
	}
	sink.fail(failureFor(result))
}

// readPrompt reads and parses a request for a completion and checks that the
// plan allows its model.
func (r *Receiver) readPrompt(w http.ResponseWriter, q *http.Request, request *dispatcher.Request, chat bool, reserved *reservation) (*parsed, *Failure) {
	data, f := r.readBody(w, q, request.Deadline, reserved)
	if f != nil {
		return nil, f
	}
	p, f := parse(data, chat, reserved)
	if f != nil {
		return nil, f
	}
	if !keeper.Allows(request.Plan, p.model, p.version, p.adapter) {
		return nil, r.modelFailure(p.model)
	}
	return p, nil
}

// modelFailure returns the failure for a model that the caller's plan does not
// allow: "model_not_allowed" if another plan has it, else "unknown_model".
func (r *Receiver) modelFailure(model string) *Failure {
	for _, row := range r.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			if o.GetModel() == model {
				return denied(http.StatusForbidden, "model_not_allowed", "the plan does not allow this model")
			}
		}
	}
	f := invalidRequest("unknown_model", "there is no such model")
	f.Status = http.StatusNotFound
	return f
}

func (r *Receiver) serveService(w http.ResponseWriter, q *http.Request) {
	request, f := r.startRequest(w, q)
	if f != nil {
		r.refuse(w, f)
		return
	}
	service := q.PathValue("service")
	if !allowsService(request.Plan, service) {
		r.refuse(w, denied(http.StatusForbidden, "service_not_allowed", "the plan does not allow this service"))
		return
	}
	reserved := &reservation{budget: r.bodies}
	defer reserved.releaseAll()
	body, f := r.readBody(w, q, request.Deadline, reserved)
	if f != nil {
		r.refuse(w, f)
		return
	}
	hash := sha256.Sum256(body)
	request.Payload = body
	request.Hash = hash[:]
	request.Method = q.Method
	request.Path = "/" + q.PathValue("path")
	request.Type = q.Header.Get("Content-Type")
	request.Job = router.Job{Kind: wire.Kind_KIND_SERVICE, Service: service}
	request.Call = callKind(q.Method)
	request.Key = q.Header.Get(KeyHeader)
	if request.Call == wire.Call_CALL_ONCE && request.Key == "" {
		request.Key = string(request.ID)
	}
	if len(request.Key) > maxKeyBytes {
		invalidRequest("bad_idempotency_key", KeyHeader+" must be at most 255 bytes").write(w)
		return
	}
	if request.Key != "" {
		w.Header().Set(KeyHeader, request.Key)
	}
	request.Permitted = r.permissionCheck(q, func(plan *wire.Plan) bool { return allowsService(plan, service) })
	sink := &serviceSink{w: w, begin: r.beginningOf(request), flushes: r.isStopping}
	result, f := r.run(q, request, sink)
	if f != nil {
		r.refuse(w, f)
		return
	}
	r.logResult(request, result)
	if result.Outcome != wire.Outcome_OUTCOME_ANSWERED {
		sink.fail(failureFor(result))
	}
}

func allowsService(plan *wire.Plan, service string) bool {
	for _, s := range plan.GetServices() {
		if s == service || s == "*" {
			return true
		}
	}
	return false
}

// callKind returns the kind of call for a method: repeatable or at most once.
func callKind(method string) wire.Call {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return wire.Call_CALL_REPEATABLE
	}
	return wire.Call_CALL_ONCE
}

// failureFor returns the failure that a caller gets for an unsuccessful result.
func failureFor(result dispatcher.Result) *Failure {
	switch result.Reason {
	case wire.Reason_REASON_MISMATCH:
		f := invalidRequest("key_reused", "the idempotency key was sent before with another call")
		f.Status = http.StatusUnprocessableEntity
		return f
	case wire.Reason_REASON_DUPLICATE:
		return &Failure{
			Status: http.StatusConflict, Type: "conflict_error", Code: "already_sent", Outcome: Unknown, RetryAfter: max(result.RetryAfter, time.Second),
			Message: "a call with this idempotency key was handed over before and is never run again; its answer is not there yet, or is not kept. Sent again with the same key, the call gets its answer once it is recorded",
		}
	default:
	}
	if result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		if result.Reason == wire.Reason_REASON_LIMIT {
			f := unavailable("over_limit", "the client account is over its limits; send it again after Retry-After", result.RetryAfter)
			f.Status = http.StatusTooManyRequests
			f.Type = "rate_limit_error"
			return f
		}
		if result.Reason == wire.Reason_REASON_SUSPECT {
			return unavailable("crash_suspect", "backend servers crashed while they ran this request; it is refused until Retry-After", result.RetryAfter)
		}
		return unavailable("not_run", "the request was not run; send it again after Retry-After", result.RetryAfter)
	}
	return &Failure{
		Status: http.StatusBadGateway, Type: "server_error", Code: "unknown",
		Message: "the request failed and may have run", Outcome: Unknown, RetryAfter: max(result.RetryAfter, time.Second),
	}
}

func (r *Receiver) serveModels(w http.ResponseWriter, q *http.Request) {
	request, f := r.startRequest(w, q)
	if f != nil {
		r.refuse(w, f)
		return
	}
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := []model{}
	for _, o := range request.Plan.GetOffers() {
		list = append(list, model{ID: o.GetModel(), Object: "model"})
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", list})
}

// refuse answers a request for which no attempt was made.
func (r *Receiver) refuse(w http.ResponseWriter, f *Failure) {
	r.counts.refusals.Add(f.Code, 1)
	f.write(w)
}

func (r *Receiver) logResult(q *dispatcher.Request, result dispatcher.Result) {
	r.counts.recordEnd(result)
	r.config.Log.Info().Str("event", "request").Str("request", string(q.ID)).Str("account", q.Account.GetName()).
		Str("outcome", result.Outcome.String()).Str("reason", result.Reason.String()).Int("attempts", result.Attempts).
		Int64("position", result.Position).Msg("")
}
