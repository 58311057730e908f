package controlplane

import "snowquay/balancer"

// MessageTrace records the cause and the outcome of one message to a proxy.
type MessageTrace struct {
	Proxy balancer.Proxy
	UID   string
	Round uint64 // round of the newest decision in the message

	// Number of events in that round, by kind.
	Lists       int
	ProxyEvents int
	Upstreams   int
	Demands     int

	Entries int
	Urgent  bool
	Full    bool // whether the message contained a full table

	// Times in seconds.
	DecidedAt float64
	SentAt    float64
	AckedAt   float64 // 0 if it was never acknowledged
}

func (t *MessageTrace) markSent(now float64, proxy *Proxy, entries int, full bool) {
	t.Proxy = proxy.ID
	t.UID = proxy.UID
	t.Entries = entries
	t.Full = full
	t.Urgent = proxy.urgent
	t.SentAt = now
}

// finishTrace completes the trace of the message in flight, if there is one. An ackedAt of 0 means that the message was
// not acknowledged.
func (f *Fleet) finishTrace(proxy *Proxy, ackedAt float64) {
	if proxy.trace.SentAt <= 0 {
		return
	}
	proxy.trace.AckedAt = ackedAt
	if len(f.finishedTraces) < f.site.Limits.MaxTraces {
		f.finishedTraces = append(f.finishedTraces, proxy.trace)
	}
	proxy.trace = proxy.followUpTrace
	proxy.followUpTrace = MessageTrace{}
}

// TakeTraces returns the traces of messages that were acknowledged or lost since the last call. The caller owns the
// returned slice.
func (f *Fleet) TakeTraces() []MessageTrace {
	traces := f.finishedTraces
	f.finishedTraces = nil
	return traces
}
