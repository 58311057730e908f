package collectd

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"collectd.org/api"
)

// ErrInvalidLine says that a line of text is no value of collectd's plain text protocol; nothing of it was taken.
var ErrInvalidLine = errors.New("not a PUTVAL line")

const (
	putval      = "PUTVAL "
	longestLine = 1024 // bytes: collectd's own identifiers have 128 at most in each part
	mostValues  = 16   // of one line; ours have three at most
)

// text takes a packet of lines, each by itself: what is garbled is counted and changes nothing, and the lines around it count.
func (c *Collector) text(now float64, b []byte) error {
	var wrong error
	for line := range bytes.Lines(b) {
		l, err := parseLine(strings.TrimRight(string(line), "\r\n"))
		if err != nil {
			c.Malformed++
			wrong = err
			continue
		}
		c.take(now, l)
	}
	return wrong
}

// parseLine reads "PUTVAL host/plugin[-instance]/type[-instance] [option=value ...] time:value[:value ...]" of collectd's plain text
// protocol. The identifier may be quoted. A host may have slashes in it, as the UIDs of a tenant's relays do. Numbers of totals must be
// whole; a time of N, for now, is not taken: a doubled line would look new.
func parseLine(line string) (*api.ValueList, error) {
	wrong := func(format string, args ...any) (*api.ValueList, error) {
		return nil, fmt.Errorf("%w: %s", ErrInvalidLine, fmt.Sprintf(format, args...))
	}
	if len(line) > longestLine {
		return wrong("%d bytes", len(line))
	}
	rest, ok := strings.CutPrefix(line, putval)
	if !ok {
		return wrong("%.20q", line)
	}
	var id string
	if strings.HasPrefix(rest, `"`) {
		if id, rest, ok = strings.Cut(rest[1:], `" `); !ok {
			return wrong("a quote without its end")
		}
	} else if id, rest, ok = strings.Cut(rest, " "); !ok {
		return wrong("no values")
	}
	words := strings.Fields(rest)
	if len(words) == 0 {
		return wrong("no values")
	}
	for _, option := range words[:len(words)-1] {
		if name, v, ok := strings.Cut(option, "="); !ok || name == "" || v == "" {
			return wrong("option %.20q", option)
		}
	}
	host, kind, ok := cutLast(id)
	if !ok {
		return wrong("identifier %.40q", id)
	}
	host, plug, ok := cutLast(host)
	if !ok || host == "" || plug == "" || kind == "" {
		return wrong("identifier %.40q", id)
	}
	l := &api.ValueList{}
	l.Host = host
	l.Plugin, l.PluginInstance, _ = strings.Cut(plug, "-")
	l.Type, l.TypeInstance, _ = strings.Cut(kind, "-")
	parts := strings.Split(words[len(words)-1], ":")
	if len(parts) < 2 || len(parts) > 1+mostValues {
		return wrong("%d values", len(parts)-1)
	}
	at, err := strconv.ParseFloat(parts[0], 64)
	if err != nil || !(at > 0) || at > math.MaxInt32*4 {
		return wrong("time %.20q", parts[0])
	}
	l.Time = time.Unix(0, int64(at*1e9))
	for _, v := range parts[1:] {
		if l.Type == uptimeType {
			f, err := strconv.ParseFloat(v, 64)
			if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
				return wrong("value %.20q", v)
			}
			l.Values = append(l.Values, api.Gauge(f))
			continue
		}
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			return wrong("value %.20q", v)
		}
		l.Values = append(l.Values, api.Derive(n))
	}
	return l, nil
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '/')
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+1:], true
}
