package controlplane

import "snowquay/balancer"

// MessageTrace tells of one message to a proxy where it came from and what became of it.
type MessageTrace struct {
	Proxy balancer.Proxy
	UID   string
	Round uint64 // of the newest decision in it

	// Number of events in that round, by kind.
	Lists       int
	ProxyEvents int
	Upstreams   int
	Demands     int

	Entries int
	Urgent  bool
	Full    bool // it had a full table

	// Times in seconds.
	DecidedAt float64
	SentAt    float64
	AckedAt   float64 // 0: it was never acknowledged
}

func (t *MessageTrace) markSent(now float64, proxy *Proxy, entries int, full bool) {
	t.Proxy = proxy.ID
	t.UID = proxy.UID
	t.Entries = entries
	t.Full = full
	t.Urgent = proxy.urgent
	t.SentAt = now
}

// finishTrace closes the trace of the message in flight, if there is one. An acknowledgement at 0 means that none came.
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

// TakeTraces hands out the traces of messages that were acknowledged or lost since the last call. The caller owns them.
func (f *Fleet) TakeTraces() []MessageTrace {
	traces := f.finishedTraces
	f.finishedTraces = nil
	return traces
}
