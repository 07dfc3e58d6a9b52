package receiver

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bamboohill/core/identifier"
	"bamboohill/core/keeper"
	"bamboohill/core/router"
	"bamboohill/entry/internal/dispatcher"
	"bamboohill/wire"

	"github.com/phuslu/log"
)

// Dispatcher takes an admitted request to its final word.
type Dispatcher interface {
	Do(ctx context.Context, q *dispatcher.Request, sink dispatcher.Sink) dispatcher.Result
}

// Config describes a Receiver.
type Config struct {
	Keeper     *keeper.Keeper
	Dispatcher Dispatcher
	Log        *log.Logger
	Body       int64         // largest body in bytes
	Memory     int64         // bytes of all bodies at once
	Timeout    time.Duration // when neither caller nor plan says
	Stall      time.Duration // longest pause of a body, 0 means 10 s
}

// Receiver serves callers.
type Receiver struct {
	counts counts
	config Config
	bodies *budget
}

// New returns a receiver.
func New(config Config) *Receiver {
	if config.Stall <= 0 {
		config.Stall = defaultStall
	}
	return &Receiver{config: config, bodies: &budget{most: config.Memory}}
}

// Handler returns the HTTP interface.
func (r *Receiver) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, q *http.Request) { r.complete(w, q, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { r.complete(w, q, true) })
	mux.HandleFunc("GET /v1/models", r.models)
	mux.HandleFunc("/services/{service}/{path...}", r.plain)
	return r.limit(mux)
}

// limit gives bodies a deadline before anyone reads them: the server reads
// what is left of a body before it sends an early refusal.
func (r *Receiver) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.ContentLength != 0 {
			http.NewResponseController(w).SetReadDeadline(time.Now().Add(r.config.Stall))
		}
		next.ServeHTTP(w, q)
	})
}

// open starts a request: its id, its caller and its deadline.
func (r *Receiver) open(w http.ResponseWriter, q *http.Request) (*dispatcher.Request, *Failure) {
	id := identifier.New[identifier.Request]()
	w.Header().Set(RequestHeader, string(id))
	account, plan, f := r.identify(w, q)
	if f != nil {
		return nil, f
	}
	timeout, f := r.timeout(q, plan)
	if f != nil {
		return nil, f
	}
	deadline := time.Now().Add(timeout)
	// A caller that does not read is given up soon after the deadline.
	http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
	return &dispatcher.Request{ID: id, Account: account, Plan: plan, Deadline: deadline}, nil
}

func (r *Receiver) identify(w http.ResponseWriter, q *http.Request) (*wire.Account, *wire.Plan, *Failure) {
	key, found := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	if !found {
		return nil, nil, denied(http.StatusUnauthorized, "no_key", "want Authorization: Bearer KEY")
	}
	if !r.config.Keeper.Ready() {
		return nil, nil, busy("not_ready", "this entry has no configuration yet", time.Second)
	}
	account, plan, err := r.config.Keeper.State().Identify(key)
	if err != nil {
		return nil, nil, denied(http.StatusUnauthorized, "bad_key", "key is not in force")
	}
	if !keeper.Fresh(plan, r.config.Keeper.Confirmed(), time.Now()) {
		if plan.GetRefuseStale() {
			return nil, nil, busy("stale_configuration", "the plan's bound on an unconfirmed configuration has passed", staleRetry)
		}
		w.Header().Set(StaleHeader, "true")
	}
	return account, plan, nil
}

// permitted returns a look at whether a caller's key is still in force and its
// plan still allows what was asked for.
func (r *Receiver) permitted(q *http.Request, allows func(*wire.Plan) bool) func() (uint64, bool) {
	key, _ := strings.CutPrefix(q.Header.Get("Authorization"), "Bearer ")
	return func() (uint64, bool) {
		s := r.config.Keeper.State()
		_, plan, err := s.Identify(key)
		return s.Sequence, err == nil && allows(plan)
	}
}

// staleRetry is when a caller comes back whose plan refuses an unconfirmed
// configuration.
const staleRetry = 5 * time.Second

// timeout returns how long a request may take: the caller's header in seconds,
// else the plan's default, else the entry's.
func (r *Receiver) timeout(q *http.Request, plan *wire.Plan) (time.Duration, *Failure) {
	if text := q.Header.Get(TimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) || seconds > maxTimeout.Seconds() {
			return 0, invalid("bad_timeout", TimeoutHeader+" must be seconds above 0, at most 3600")
		}
		return time.Duration(seconds * float64(time.Second)), nil
	}
	if plan.GetTimeoutMs() > 0 {
		return time.Duration(plan.GetTimeoutMs()) * time.Millisecond, nil
	}
	return r.config.Timeout, nil
}

// writeGrace is how long after its deadline a request's answer may be written.
const writeGrace = time.Second

// maxKey is the longest idempotency key in bytes.
const maxKey = 255

// maxTimeout is the longest timeout that a caller may ask for.
const maxTimeout = time.Hour

func (r *Receiver) complete(w http.ResponseWriter, q *http.Request, chat bool) {
	request, f := r.open(w, q)
	if f != nil {
		r.refuse(w, f)
		return
	}
	held := &hold{budget: r.bodies}
	defer held.free()
	p, f := r.prompt(w, q, request, chat, held)
	if f != nil {
		r.refuse(w, f)
		return
	}
	request.Payload = p.prompt
	request.Call = wire.Call_CALL_REPEATABLE
	request.Job = router.Job{
		Kind: wire.Kind_KIND_MODEL, Model: p.model, Version: p.version, Adapter: p.adapter,
		Prompt: int64(len(p.prompt)+tokenBytes-1) / tokenBytes, Answer: p.answer,
	}
	request.Permitted = r.permitted(q, func(plan *wire.Plan) bool { return keeper.Allows(plan, p.model, p.version, p.adapter) })
	sink := newModelSink(w, p, completion{ID: string(request.ID), Created: time.Now().Unix(), Model: p.model})
	result := r.config.Dispatcher.Do(q.Context(), request, sink)
	r.log(request, result)
	if result.Outcome == wire.Outcome_OUTCOME_ANSWERED {
		sink.finish(result)
		return
	}
	sink.fail(explain(result))
}

// prompt reads, parses and allows a request for a completion.
func (r *Receiver) prompt(w http.ResponseWriter, q *http.Request, request *dispatcher.Request, chat bool, held *hold) (*parsed, *Failure) {
	data, f := r.read(w, q, request.Deadline, held)
	if f != nil {
		return nil, f
	}
	p, f := parse(data, chat, held)
	if f != nil {
		return nil, f
	}
	if !keeper.Allows(request.Plan, p.model, p.version, p.adapter) {
		return nil, r.forbid(p.model)
	}
	return p, nil
}

// forbid tells a model that no plan names from one that this plan may not use.
func (r *Receiver) forbid(model string) *Failure {
	for _, row := range r.config.Keeper.State().Rows(keeper.KindPlan) {
		for _, o := range row.GetRecord().GetPlan().GetOffers() {
			if o.GetModel() == model {
				return denied(http.StatusForbidden, "model_not_allowed", "the plan does not allow this model")
			}
		}
	}
	f := invalid("unknown_model", "there is no such model")
	f.Status = http.StatusNotFound
	return f
}

func (r *Receiver) plain(w http.ResponseWriter, q *http.Request) {
	request, f := r.open(w, q)
	if f != nil {
		r.refuse(w, f)
		return
	}
	service := q.PathValue("service")
	if !allowsService(request.Plan, service) {
		r.refuse(w, denied(http.StatusForbidden, "service_not_allowed", "the plan does not allow this service"))
		return
	}
	held := &hold{budget: r.bodies}
	defer held.free()
	body, f := r.read(w, q, request.Deadline, held)
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
	request.Call = call(q.Method)
	request.Key = q.Header.Get(KeyHeader)
	if request.Call == wire.Call_CALL_ONCE && request.Key == "" {
		request.Key = string(request.ID)
	}
	if len(request.Key) > maxKey {
		invalid("bad_idempotency_key", KeyHeader+" must be at most 255 bytes").write(w)
		return
	}
	if request.Key != "" {
		w.Header().Set(KeyHeader, request.Key)
	}
	request.Permitted = r.permitted(q, func(plan *wire.Plan) bool { return allowsService(plan, service) })
	sink := &plainSink{w: w}
	result := r.config.Dispatcher.Do(q.Context(), request, sink)
	r.log(request, result)
	if result.Outcome != wire.Outcome_OUTCOME_ANSWERED {
		sink.fail(explain(result))
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

// call says whether a method may be repeated.
func call(method string) wire.Call {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return wire.Call_CALL_REPEATABLE
	}
	return wire.Call_CALL_ONCE
}

func explain(result dispatcher.Result) *Failure {
	switch result.Reason {
	case wire.Reason_REASON_MISMATCH:
		f := invalid("key_reused", "the idempotency key was sent before with another call")
		f.Status = http.StatusUnprocessableEntity
		return f
	case wire.Reason_REASON_DUPLICATE:
		return &Failure{
			Status: http.StatusConflict, Type: "conflict_error", Code: "already_sent", Outcome: Unknown, Retry: max(result.RetryAfter, time.Second),
			Message: "a call with this idempotency key was handed over before and is never run again; its answer is not there yet, or is not kept. Sent again with the same key, the call gets its answer once it is recorded",
		}
	default:
	}
	if result.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		if result.Reason == wire.Reason_REASON_LIMIT {
			f := busy("over_limit", "the client account is over its limits; send it again after Retry-After", result.RetryAfter)
			f.Status = http.StatusTooManyRequests
			f.Type = "rate_limit_error"
			return f
		}
		if result.Reason == wire.Reason_REASON_SUSPECT {
			return busy("crash_suspect", "backend servers crashed while they ran this request; it is refused until Retry-After", result.RetryAfter)
		}
		return busy("not_run", "the request was not run; send it again after Retry-After", result.RetryAfter)
	}
	return &Failure{
		Status: http.StatusBadGateway, Type: "server_error", Code: "unknown",
		Message: "the request failed and may have run", Outcome: Unknown, Retry: max(result.RetryAfter, time.Second),
	}
}

func (r *Receiver) models(w http.ResponseWriter, q *http.Request) {
	request, f := r.open(w, q)
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

// refuse answers a request that no attempt was made for.
func (r *Receiver) refuse(w http.ResponseWriter, f *Failure) {
	r.counts.refusals.Add(f.Code, 1)
	f.write(w)
}

func (r *Receiver) log(q *dispatcher.Request, result dispatcher.Result) {
	r.counts.ended(result)
	r.config.Log.Info().Str("event", "request").Str("request", string(q.ID)).Str("account", q.Account.GetName()).
		Str("outcome", result.Outcome.String()).Str("reason", result.Reason.String()).Int("attempts", result.Attempts).
		Int64("position", result.Position).Msg("")
}
