package service

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"snowquay/internal/core/spool"
	"snowquay/internal/feed/graphite"
)

// metricsMux returns a mux that serves the metrics of a registry.
func metricsMux(registry *prometheus.Registry) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

// metricWriter writes the metrics of a collector. Their names share a prefix.
type metricWriter struct {
	prefix string
	out    chan<- prometheus.Metric
}

func (w metricWriter) gauge(name, help string, value float64) {
	w.write(prometheus.GaugeValue, name, help, value)
}

func (w metricWriter) counter(name, help string, total int) {
	w.write(prometheus.CounterValue, name+"_total", help, float64(total))
}

func (w metricWriter) write(kind prometheus.ValueType, name, help string, value float64) {
	desc := prometheus.NewDesc(w.prefix+name, help, nil, nil)
	w.out <- prometheus.MustNewConstMetric(desc, kind, value)
}

// writeGraphite writes the metrics of a Graphite sender. It writes none if the sender is nil.
func (w metricWriter) writeGraphite(sender *graphite.Sender) {
	if sender == nil {
		return
	}
	samples, values := sender.Len()
	connected := sender.State() == spool.Connected
	w.gauge("graphite_reached", "1 while the receiver of figures is connected.", boolGauge(connected))
	w.gauge("graphite_waiting_samples", "Samples that wait for it.", float64(samples))
	w.gauge("graphite_waiting_values", "Values in them.", float64(values))
	w.gauge("graphite_coarsest_seconds", "Seconds that the coarsest of them stands for.", sender.LongestSpan())
	w.counter("graphite_samples", "Samples made.", sender.Stats.Samples)
	w.counter("graphite_merged", "Times that two samples became one, for want of room.", sender.Stats.Merged)
	w.counter("graphite_broken", "Connections that broke with samples on their way.", sender.Disconnects)
	dropped := sender.SeriesDropped + sender.Stats.Dropped
	w.counter("graphite_left", "Figures left out: too many series, or no room.", dropped)
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
