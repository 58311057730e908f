package service

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/frontend/admin"
)

const (
	coordinatorTraceCapacity = 512 // number of message traces that a coordinator keeps
	tenantTraceCapacity      = 64  // number of message traces that a host keeps of each tenant
)

// Names of the spans of a message: the whole span, and its child spans for the time in the queue and on the network.
const (
	messageSpan = "order"
	queueSpan   = "waits"
	networkSpan = "travels"
)

// Keys of the attributes of a message span. admin.MessageTrace uses the same keys in JSON.
const (
	tenantKey      = attribute.Key("tenant")
	relayKey       = attribute.Key("relay")
	roundKey       = attribute.Key("round")
	listsKey       = attribute.Key("facts.lists")
	streamsKey     = attribute.Key("facts.streams")
	trafficKey     = attribute.Key("facts.traffic")
	demandKey      = attribute.Key("facts.demand")
	linesKey       = attribute.Key("lines")
	urgentKey      = attribute.Key("urgent")
	fullKey        = attribute.Key("full")
	heldKey        = attribute.Key("held")
	incarnationKey = attribute.Key("incarnation")
)

// traceRecorder records the progress of the messages to proxies: as spans (decided, sent, acknowledged), and as a
// histogram of the time from the decision to the acknowledgement.
type traceRecorder struct {
	registry   *prometheus.Registry
	ackLatency *prometheus.HistogramVec
	tracer     trace.Tracer
	log        *traceLog
}

// newTraceRecorder returns a recorder that keeps the latest traces of each tenant, up to capacity.
func newTraceRecorder(capacity int) *traceRecorder {
	r := &traceRecorder{
		registry: prometheus.NewRegistry(),
		ackLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "snowquay_order_held_seconds",
			Help:    "From a decision until a relay was known to hold it.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 14),
		}, []string{"urgent"}),
		log: &traceLog{capacity: capacity, rings: map[tenancy.Name]*traceRing{}},
	}
	r.registry.MustRegister(r.ackLatency)
	r.tracer = sdk.NewTracerProvider(sdk.WithSyncer(r.log)).Tracer("snowquay")
	return r
}

// wallTime converts a clock time, in seconds since 1970, to a time.Time.
func wallTime(clock float64) time.Time { return time.Unix(0, int64(clock*1e9)) }

// record records a message of a coordinator without tenants.
func (r *traceRecorder) record(message controlplane.MessageTrace) { r.recordTenant("", 0, message) }

// recordTenant records a message of a tenant's coordinator: a span whose attributes count the inputs of the decision,
// and a child span for each phase of the message.
func (r *traceRecorder) recordTenant(name tenancy.Name, incarnation tenancy.Incarnation, message controlplane.MessageTrace) {
	acknowledged := message.AckedAt > 0
	if acknowledged {
		urgent := "no"
		if message.Urgent {
			urgent = "yes"
		}
		r.ackLatency.WithLabelValues(urgent).Observe(message.AckedAt - message.DecidedAt)
	}
	decidedAt := trace.WithTimestamp(wallTime(message.DecidedAt))
	sentAt := trace.WithTimestamp(wallTime(message.SentAt))
	ctx, span := r.tracer.Start(context.Background(), messageSpan, decidedAt, trace.WithAttributes(
		tenantKey.String(string(name)),
		relayKey.String(message.UID),
		roundKey.Int64(int64(message.Round)),
		listsKey.Int(message.Lists),
		streamsKey.Int(message.ProxyEvents),
		trafficKey.Int(message.Upstreams),
		demandKey.Int(message.Demands),
		linesKey.Int(message.Entries),
		urgentKey.Bool(message.Urgent),
		fullKey.Bool(message.Full),
		heldKey.Bool(acknowledged),
		incarnationKey.Int64(int64(incarnation)),
	))
	_, queued := r.tracer.Start(ctx, queueSpan, decidedAt)
	queued.End(sentAt)
	if !acknowledged {
		span.End(sentAt)
		return
	}
	ackedAt := trace.WithTimestamp(wallTime(message.AckedAt))
	_, inTransit := r.tracer.Start(ctx, networkSpan, sentAt)
	inTransit.End(ackedAt)
	span.End(ackedAt)
}

// serveHTTP responds with the latest message traces of a coordinator without tenants. ?relay= restricts them to one
// proxy.
func (r *traceRecorder) serveHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	traces := r.log.latest("", request.URL.Query().Get("relay"))
	_ = json.NewEncoder(w).Encode(traces) // fails if the client has disconnected
}

// traceLog is a span exporter that keeps the latest message traces of each tenant. It is safe for concurrent use.
type traceLog struct {
	capacity int
	mu       sync.Mutex // protects rings
	rings    map[tenancy.Name]*traceRing
}

// traceRing is a ring buffer of message traces.
type traceRing struct {
	traces []admin.MessageTrace
	total  int // number of traces ever added
}

func (r *traceRing) add(row admin.MessageTrace, capacity int) {
	if len(r.traces) < capacity {
		r.traces = append(r.traces, row)
	} else {
		r.traces[r.total%capacity] = row
	}
	r.total++
}

// ExportSpans implements sdk.SpanExporter.
func (l *traceLog) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, span := range spans {
		if span.Name() != messageSpan {
			continue
		}
		row := messageTrace(span)
		ring := l.rings[row.Tenant]
		if ring == nil {
			ring = &traceRing{}
			l.rings[row.Tenant] = ring
		}
		ring.add(row, l.capacity)
	}
	return nil
}

// messageTrace converts the span of a message to an admin.MessageTrace.
func messageTrace(span sdk.ReadOnlySpan) admin.MessageTrace {
	row := admin.MessageTrace{
		Trace:   span.SpanContext().TraceID().String(),
		Decided: span.StartTime(),
		Seconds: span.EndTime().Sub(span.StartTime()).Seconds(),
	}
	for _, attr := range span.Attributes() {
		switch attr.Key {
		case tenantKey:
			row.Tenant = tenancy.Name(attr.Value.AsString())
		case relayKey:
			row.Relay = attr.Value.AsString()
		case roundKey:
			row.Round = attr.Value.AsInt64()
		case listsKey:
			row.Lists = attr.Value.AsInt64()
		case streamsKey:
			row.Streams = attr.Value.AsInt64()
		case trafficKey:
			row.Traffic = attr.Value.AsInt64()
		case demandKey:
			row.Demand = attr.Value.AsInt64()
		case linesKey:
			row.Lines = attr.Value.AsInt64()
		case urgentKey:
			row.Urgent = attr.Value.AsBool()
		case fullKey:
			row.Full = attr.Value.AsBool()
		case heldKey:
			row.Held = attr.Value.AsBool()
		case incarnationKey:
			row.Incarnation = attr.Value.AsInt64()
		}
	}
	return row
}

// Shutdown implements sdk.SpanExporter.
func (l *traceLog) Shutdown(context.Context) error { return nil }

// removeTenant deletes the traces of a tenant.
func (l *traceLog) removeTenant(name tenancy.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rings, name)
}

// latest returns the latest message traces of a tenant, the newest first. A non-empty proxyUID restricts them to one
// proxy.
func (l *traceLog) latest(name tenancy.Name, proxyUID string) []admin.MessageTrace {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := []admin.MessageTrace{} // not nil, so that an empty list is encoded as [] in JSON
	ring := l.rings[name]
	if ring == nil {
		return rows
	}
	size := len(ring.traces)
	for age := range size {
		row := ring.traces[(ring.total-1-age)%size]
		if proxyUID == "" || row.Relay == proxyUID {
			rows = append(rows, row)
		}
	}
	return rows
}
