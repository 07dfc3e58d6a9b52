package tracer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"bamboohill/core/verifier"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// sendTimeout limits the time in which a batch is sent to the collector.
const sendTimeout = 5 * time.Second

// collector exports spans to a collector with OTLP over HTTP in JSON encoding.
// docs/design/traces.md explains why the standard exporter is not used.
type collector struct {
	url    string
	client *http.Client
}

func newCollector(endpoint string) *collector {
	return &collector{url: "http://" + endpoint + "/v1/traces", client: &http.Client{Timeout: sendTimeout, Transport: verifier.DefaultTransport}}
}

// The part of the OTLP messages that spans need. In the JSON encoding of OTLP,
// 64-bit integers are strings.
type export struct {
	Resources []resourceSpans `json:"resourceSpans"`
}

type resourceSpans struct {
	Resource struct {
		Attributes []keyValue `json:"attributes"`
	} `json:"resource"`
	Scopes []scopeSpans `json:"scopeSpans"`
}

type scopeSpans struct {
	Scope struct {
		Name string `json:"name"`
	} `json:"scope"`
	Spans []span `json:"spans"`
}

type span struct {
	Trace      string     `json:"traceId"`
	ID         string     `json:"spanId"`
	Parent     string     `json:"parentSpanId,omitempty"`
	Name       string     `json:"name"`
	Kind       int        `json:"kind"`
	Start      string     `json:"startTimeUnixNano"`
	End        string     `json:"endTimeUnixNano"`
	Attributes []keyValue `json:"attributes"`
	Status     status     `json:"status"`
}

type status struct {
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

type keyValue struct {
	Key   string `json:"key"`
	Value value  `json:"value"`
}

type value struct {
	Text   *string `json:"stringValue,omitempty"`
	Number *string `json:"intValue,omitempty"`
}

// statusError is the OTLP status code of a failed span.
const statusError = 2

// ExportSpans implements sdk.SpanExporter.
func (c *collector) ExportSpans(ctx context.Context, spans []sdk.ReadOnlySpan) error {
	if len(spans) == 0 {
		return nil
	}
	data, err := json.Marshal(encode(spans))
	if err != nil {
		return eris.Wrap(err, "tracer: encode")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "tracer: collector")
	}
	q.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(q)
	if err != nil {
		return eris.Wrap(err, "tracer: collector")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("tracer: collector answered %d", response.StatusCode)
	}
	return nil
}

// Shutdown implements sdk.SpanExporter.
func (c *collector) Shutdown(context.Context) error { return nil }

// encode returns the OTLP message with spans of one resource and scope.
func encode(spans []sdk.ReadOnlySpan) export {
	var r resourceSpans
	r.Resource.Attributes = encodeAttributes(spans[0].Resource().Attributes())
	var s scopeSpans
	s.Scope.Name = scope
	for _, x := range spans {
		s.Spans = append(s.Spans, encodeSpan(x))
	}
	r.Scopes = []scopeSpans{s}
	return export{Resources: []resourceSpans{r}}
}

func encodeSpan(x sdk.ReadOnlySpan) span {
	s := span{
		Trace: x.SpanContext().TraceID().String(), ID: x.SpanContext().SpanID().String(), Name: x.Name(),
		Kind: kind(x.SpanKind()), Start: strconv.FormatInt(x.StartTime().UnixNano(), 10),
		End: strconv.FormatInt(x.EndTime().UnixNano(), 10), Attributes: encodeAttributes(x.Attributes()),
	}
	if x.Parent().SpanID().IsValid() {
		s.Parent = x.Parent().SpanID().String()
	}
	if x.Status().Code == codes.Error {
		s.Status = status{Code: statusError, Message: x.Status().Description}
	}
	return s
}

// kind returns the OTLP number of a span kind.
func kind(k trace.SpanKind) int {
	const internal, server, client = 1, 2, 3
	switch k {
	case trace.SpanKindServer:
		return server
	case trace.SpanKindClient:
		return client
	default:
		return internal
	}
}

func encodeAttributes(all []attribute.KeyValue) []keyValue {
	list := []keyValue{}
	for _, a := range all {
		text := a.Value.String()
		v := value{Text: &text}
		if a.Value.Type() == attribute.INT64 {
			v = value{Number: &text}
		}
		list = append(list, keyValue{Key: string(a.Key), Value: v})
	}
	return list
}
