// Package outlier keeps away from servers that fail, for a while. It is pure.
package outlier

import "snowquay/balancer"

// Terms of avoiding.
type Terms struct {
	After int     // failures in a row; 0: none is avoided
	For   float64 // seconds, the first time
	Most  float64 // seconds; each time in a row doubles it
}

// UsualTerms are those that settings start from.
var UsualTerms = Terms{After: 8, For: 4, Most: 30}

const mostServers = 8192 // that are remembered; one more is not avoided

type state struct {
	failures int
	times    int
	until    float64
}

// Detector is what a proxy knows of its servers. Use New.
type Detector struct {
	terms Terms
	by    map[balancer.Server]*state
	Count int // how often one was avoided
}

// New makes an empty list.
func New(t Terms) *Detector { return &Detector{terms: t, by: map[balancer.Server]*state{}} }

// Answered notes an answer: the server is well.
func (l *Detector) Answered(s balancer.Server) { delete(l.by, s) }

// Failed notes a failure. It reports whether the server is avoided from now on.
func (l *Detector) Failed(now float64, s balancer.Server) bool {
	x := l.by[s]
	if x == nil {
		if l.terms.After == 0 || len(l.by) >= mostServers {
			return false
		}
		x = &state{}
		l.by[s] = x
	}
	if x.failures++; x.failures < l.terms.After || now < x.until {
		return false
	}
	x.until = now + min(l.terms.For*float64(uint64(1)<<min(x.times, 16)), l.terms.Most)
	x.failures = l.terms.After - 1 // one more failure afterwards, and it is avoided for longer
	x.times++
	l.Count++
	return true
}

// Avoids tells whether a server is to be left alone now. It is advice: where all that are left are avoided, one of them is
// taken all the same.
func (l *Detector) Avoids(now float64, s balancer.Server) bool {
	x := l.by[s]
	return x != nil && now < x.until
}

// Forget a server that has no line any more.
func (l *Detector) Forget(s balancer.Server) { delete(l.by, s) }
