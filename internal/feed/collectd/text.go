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

// ErrInvalidLine is returned for a line that is not valid in collectd's plain text protocol.
var ErrInvalidLine = errors.New("not a PUTVAL line")

const (
	putvalPrefix = "PUTVAL "
	// maxLineBytes is the maximum length of a line. Each part of collectd's own identifiers has 128 at most.
	maxLineBytes = 1024
	// maxLineValues is the maximum number of values of a line.
	maxLineValues = 16
	// maxLineTime is the maximum time of a line in seconds since 1970.
	maxLineTime = math.MaxInt32 * 4
)

// readText reads a packet of lines. A malformed line is counted and changes nothing; the other lines are
// still read. It returns the error of the last malformed line.
func (c *Collector) readText(now float64, packet []byte) error {
	var lastErr error
	for line := range bytes.Lines(packet) {
		list, err := parseLine(strings.TrimRight(string(line), "\r\n"))
		if err != nil {
			c.Malformed++
			lastErr = err
			continue
		}
		c.report(now, list)
	}
	return lastErr
}

func invalidLine(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidLine, fmt.Sprintf(format, args...))
}

// parseLine parses a line of collectd's plain text protocol:
//
//	PUTVAL host/plugin[-instance]/type[-instance] [option=value ...] time:value[:value ...]
//
// The identifier may be quoted, and its host may contain slashes, as the UIDs of a tenant's proxies do.
// Derives must be whole numbers. The time N, for now, is rejected, because a duplicated line would look new.
func parseLine(line string) (*api.ValueList, error) {
	if len(line) > maxLineBytes {
		return nil, invalidLine("%d bytes", len(line))
	}
	rest, ok := strings.CutPrefix(line, putvalPrefix)
	if !ok {
		return nil, invalidLine("%.20q", line)
	}
	id, rest, err := cutIdentifier(rest)
	if err != nil {
		return nil, err
	}
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return nil, invalidLine("no values")
	}
	last := len(fields) - 1
	for _, option := range fields[:last] {
		name, value, ok := strings.Cut(option, "=")
		if !ok || name == "" || value == "" {
			return nil, invalidLine("option %.20q", option)
		}
	}
	list := &api.ValueList{}
	list.Identifier, err = parseIdentifier(id)
	if err != nil {
		return nil, err
	}
	if err := parseValues(list, fields[last]); err != nil {
		return nil, err
	}
	return list, nil
}

// cutIdentifier separates the identifier, which may be quoted, from the rest of a line.
func cutIdentifier(text string) (id, rest string, err error) {
	quoted, isQuoted := strings.CutPrefix(text, `"`)
	if isQuoted {
		id, rest, ok := strings.Cut(quoted, `" `)
		if !ok {
			return "", "", invalidLine("a quote without its end")
		}
		return id, rest, nil
	}
	id, rest, ok := strings.Cut(text, " ")
	if !ok {
		return "", "", invalidLine("no values")
	}
	return id, rest, nil
}

func parseIdentifier(text string) (api.Identifier, error) {
	hostAndPlugin, valueType, ok := cutLastSlash(text)
	if !ok {
		return api.Identifier{}, invalidLine("identifier %.40q", text)
	}
	host, plugin, ok := cutLastSlash(hostAndPlugin)
	if !ok || host == "" || plugin == "" || valueType == "" {
		return api.Identifier{}, invalidLine("identifier %.40q", text)
	}
	id := api.Identifier{Host: host}
	id.Plugin, id.PluginInstance, _ = strings.Cut(plugin, "-")
	id.Type, id.TypeInstance, _ = strings.Cut(valueType, "-")
	return id, nil
}

func cutLastSlash(text string) (before, after string, ok bool) {
	i := strings.LastIndexByte(text, '/')
	if i < 0 {
		return "", text, false
	}
	return text[:i], text[i+1:], true
}

// parseValues sets the time and the values of a list from "time:value[:value ...]".
func parseValues(list *api.ValueList, text string) error {
	parts := strings.Split(text, ":")
	values := parts[1:]
	if len(values) < 1 || len(values) > maxLineValues {
		return invalidLine("%d values", len(values))
	}
	at, err := strconv.ParseFloat(parts[0], 64)
	isValid := at > 0 && at <= maxLineTime // false for NaN
	if err != nil || !isValid {
		return invalidLine("time %.20q", parts[0])
	}
	list.Time = time.Unix(0, int64(at*nanosecondsPerSecond))
	for _, value := range values {
		parsed, err := parseValue(list.Type, value)
		if err != nil {
			return err
		}
		list.Values = append(list.Values, parsed)
	}
	return nil
}

// parseValue parses a finite gauge for uptimes and a whole, non-negative derive for all other types.
func parseValue(valueType, text string) (api.Value, error) {
	if valueType == uptimeType {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) {
			return nil, invalidLine("value %.20q", text)
		}
		return api.Gauge(seconds), nil
	}
	total, err := strconv.ParseInt(text, 10, 64)
	if err != nil || total < 0 {
		return nil, invalidLine("value %.20q", text)
	}
	return api.Derive(total), nil
}
