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

	"snowquay/internal/core/fleet"
)

const keptSpans = 512 // of the latest orders, for those who ask why one was given

// watch keeps what became of orders: as spans of a trace (decided, written, held) and as a histogram.
type watch struct {
	registry *prometheus.Registry
	held     *prometheus.HistogramVec
	tracer   trace.Tracer
	latest   *latest
}

func newWatch() *watch {
	w := &watch{registry: prometheus.NewRegistry(), latest: &latest{}}
	w.held = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "snowquay_order_held_seconds",
		Help: "From a decision until a relay was known to hold it.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 14)},
		[]string{"urgent"})
	w.registry.MustRegister(w.held)
	w.tracer = sdk.NewTracerProvider(sdk.WithSyncer(w.latest)).Tracer("snowquay")
	return w
}

func wall(clock float64) time.Time { return time.Unix(0, int64(clock*1e9)) }

// order makes a span of an order's life, with the facts that it came from, and a span for each part of it.
func (w *watch) order(o fleet.Order) {
	urgent := "no"
	if o.Urgent {
		urgent = "yes"
	}
	if o.Held > 0 {
		w.held.WithLabelValues(urgent).Observe(o.Held - o.Decided)
	}
	ctx, span := w.tracer.Start(context.Background(), "order", trace.WithTimestamp(wall(o.Decided)),
		trace.WithAttributes(attribute.String("relay", o.UID), attribute.Int64("round", int64(o.Round)),
			attribute.Int("facts.lists", o.Lists), attribute.Int("facts.streams", o.Streams),
			attribute.Int("facts.traffic", o.Traffic), attribute.Int("facts.demand", o.Demands),
			attribute.Int("lines", o.Lines), attribute.Bool("urgent", o.Urgent), attribute.Bool("full", o.Full),
			attribute.Bool("held", o.Held > 0)))
	_, waits := w.tracer.Start(ctx, "waits", trace.WithTimestamp(wall(o.Decided)))
	waits.End(trace.WithTimestamp(wall(o.Written)))
	end := o.Written
	if o.Held > 0 {
		_, travels := w.tracer.Start(ctx, "travels", trace.WithTimestamp(wall(o.Written)))
		travels.End(trace.WithTimestamp(wall(o.Held)))
		end = o.Held
	}
	span.End(trace.WithTimestamp(wall(end)))
}

// latest is a span exporter that keeps the newest orders in a ring.
type latest struct {
	mu    sync.Mutex
	ring  [keptSpans]map[string]any
	count int
}

// ExportSpans of trace.SpanExporter.
func (l *latest) ExportSpans(_ context.Context, spans []sdk.ReadOnlySpan) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range spans {
		if s.Name() != "order" {
			continue
		}
		row := map[string]any{"trace": s.SpanContext().TraceID().String(), "decided": s.StartTime(),
			"seconds": s.EndTime().Sub(s.StartTime()).Seconds()}
		for _, a := range s.Attributes() {
			row[string(a.Key)] = a.Value.AsInterface()
		}
		l.ring[l.count%keptSpans] = row
		l.count++
	}
	return nil
}

// Shutdown of trace.SpanExporter.
func (l *latest) Shutdown(context.Context) error { return nil }

// recent answers with the newest orders, newest first; ?relay= keeps to one relay.
func (w *watch) recent(out http.ResponseWriter, r *http.Request) {
	relay := r.URL.Query().Get("relay")
	w.latest.mu.Lock()
	rows := []map[string]any{}
	for i := range min(w.latest.count, keptSpans) {
		row := w.latest.ring[(w.latest.count-1-i)%keptSpans]
		if relay == "" || row["relay"] == relay {
			rows = append(rows, row)
		}
	}
	w.latest.mu.Unlock()
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(rows) // a reader that went away needs no answer
}
