// Package outlier keeps away from servers that fail, for a while. It is pure.
package outlier

import "snowquay/balancer"

// Config of avoiding.
type Config struct {
	ConsecutiveFailures int     // failures in a row; 0: none is avoided
	BaseEjection        float64 // seconds, the first time
	MaxEjection         float64 // seconds; each time in a row doubles it
}

// DefaultConfig are those that settings start from.
var DefaultConfig = Config{ConsecutiveFailures: 8, BaseEjection: 4, MaxEjection: 30}

const mostServers = 8192 // that are remembered; one more is not avoided

type state struct {
	failures int
	times    int
	until    float64
}

// Detector is what a proxy knows of its servers. Use New.
type Detector struct {
	terms     Config
	by        map[balancer.Server]*state
	Ejections int // how often one was avoided
}

// New makes an empty list.
func New(t Config) *Detector { return &Detector{terms: t, by: map[balancer.Server]*state{}} }

// RecordSuccess notes an answer: the server is well.
func (l *Detector) RecordSuccess(s balancer.Server) { delete(l.by, s) }

// RecordFailure notes a failure. It reports whether the server is avoided from now on.
func (l *Detector) RecordFailure(now float64, s balancer.Server) bool {
	x := l.by[s]
	if x == nil {
		if l.terms.ConsecutiveFailures == 0 || len(l.by) >= mostServers {
			return false
		}
		x = &state{}
		l.by[s] = x
	}
	if x.failures++; x.failures < l.terms.ConsecutiveFailures || now < x.until {
		return false
	}
	x.until = now + min(l.terms.BaseEjection*float64(uint64(1)<<min(x.times, 16)), l.terms.MaxEjection)
	x.failures = l.terms.ConsecutiveFailures - 1 // one more failure afterwards, and it is avoided for longer
	x.times++
	l.Ejections++
	return true
}

// Ejected tells whether a server is to be left alone now. It is advice: where all that are left are avoided, one of them is
// taken all the same.
func (l *Detector) Ejected(now float64, s balancer.Server) bool {
	x := l.by[s]
	return x != nil && now < x.until
}

// Forget a server that has no line any more.
func (l *Detector) Forget(s balancer.Server) { delete(l.by, s) }
