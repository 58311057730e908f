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
)

const (
	keptSpans  = 512 // of the latest orders of a coordinator, for those who ask why one was given
	hostedKept = 64  // likewise, of each tenant of a host
)

// watch keeps what became of orders: as spans of a trace (decided, written, held) and as a histogram.
type watch struct {
	registry *prometheus.Registry
	held     *prometheus.HistogramVec
	tracer   trace.Tracer
	latest   *latest
}

func newWatch(kept int) *watch {
	w := &watch{registry: prometheus.NewRegistry(), latest: &latest{most: kept, rings: map[string]*ring{}}}
	w.held = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "snowquay_order_held_seconds",
		Help: "From a decision until a relay was known to hold it.", Buckets: prometheus.ExponentialBuckets(0.002, 2, 14)},
		[]string{"urgent"})
	w.registry.MustRegister(w.held)
	w.tracer = sdk.NewTracerProvider(sdk.WithSyncer(w.latest)).Tracer("snowquay")
	return w
}

func wall(clock float64) time.Time { return time.Unix(0, int64(clock*1e9)) }

// order makes a span of an order's life, with the facts that it came from, and a span for each part of it.
func (w *watch) order(o controlplane.MessageTrace) { w.orderOf("", 0, o) }

func (w *watch) orderOf(of tenancy.Name, life tenancy.Incarnation, o controlplane.MessageTrace) {
	urgent := "no"
	if o.Urgent {
		urgent = "yes"
	}
	if o.AckedAt > 0 {
		w.held.WithLabelValues(urgent).Observe(o.AckedAt - o.DecidedAt)
	}
	ctx, span := w.tracer.Start(context.Background(), "order", trace.WithTimestamp(wall(o.DecidedAt)),
		trace.WithAttributes(attribute.String("tenant", string(of)), attribute.String("relay", o.UID), attribute.Int64("round", int64(o.Round)),
			attribute.Int("facts.lists", o.Lists), attribute.Int("facts.streams", o.ProxyEvents),
			attribute.Int("facts.traffic", o.Upstreams), attribute.Int("facts.demand", o.Demands),
			attribute.Int("lines", o.Entries), attribute.Bool("urgent", o.Urgent), attribute.Bool("full", o.Full),
			attribute.Bool("held", o.AckedAt > 0), attribute.Int64("incarnation", int64(life))))
	_, waits := w.tracer.Start(ctx, "waits", trace.WithTimestamp(wall(o.DecidedAt)))
	waits.End(trace.WithTimestamp(wall(o.SentAt)))
	end := o.SentAt
	if o.AckedAt > 0 {
		_, travels := w.tracer.Start(ctx, "travels", trace.WithTimestamp(wall(o.SentAt)))
		travels.End(trace.WithTimestamp(wall(o.AckedAt)))
		end = o.AckedAt
	}
	span.End(trace.WithTimestamp(wall(end)))
}

// latest is a span exporter that keeps the newest orders of each tenant in a ring.
type latest struct {
	mu    sync.Mutex
	most  int
	rings map[string]*ring
}

type ring struct {
	rows  []map[string]any
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
		of, _ := row["tenant"].(string)
		r := l.rings[of]
		if r == nil {
			r = &ring{}
			l.rings[of] = r
		}
		if len(r.rows) < l.most {
			r.rows = append(r.rows, row)
		} else {
			r.rows[r.count%l.most] = row
		}
		r.count++
	}
	return nil
}

// Shutdown of trace.SpanExporter.
func (l *latest) Shutdown(context.Context) error { return nil }

// drop forgets a tenant's orders.
func (l *latest) drop(of tenancy.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rings, string(of))
}

// of are the newest orders of a tenant, newest first; those to one relay if it is named.
func (l *latest) of(tenant tenancy.Name, relay string) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	rows := []map[string]any{}
	r := l.rings[string(tenant)]
	for i := 0; r != nil && i < len(r.rows); i++ {
		row := r.rows[(r.count-1-i)%len(r.rows)]
		if relay == "" || row["relay"] == relay {
			rows = append(rows, row)
		}
	}
	return rows
}

// recent answers with a coordinator's newest orders; ?relay= keeps to one relay.
func (w *watch) recent(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(w.latest.of("", r.URL.Query().Get("relay"))) // a reader that went away needs no answer
}
