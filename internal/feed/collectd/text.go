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

	"snowquay/internal/core/finite"
)

// ErrInvalidLine is returned for a line that is not valid in collectd's plain text protocol.
var ErrInvalidLine = errors.New("invalid PUTVAL line")

const (
	putvalPrefix = "PUTVAL "
	// maxLineBytes is the maximum length of a line. collectd itself limits each part of an identifier to 128
	// bytes.
	maxLineBytes = 1024
	// maxLineValues is the maximum number of values in a line.
	maxLineValues = 16
	// maxLineTime is the maximum time in a line, in seconds since 1970.
	maxLineTime = math.MaxInt32 * 4
)

// readText parses a packet of lines. A malformed line is counted and changes nothing; the other lines are
// still parsed. readText returns the error of the last malformed line.
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

// invalidLine returns an error that wraps ErrInvalidLine.
func invalidLine(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidLine, fmt.Sprintf(format, args...))
}

// parseLine parses a line of collectd's plain text protocol:
//
//	PUTVAL host/plugin[-instance]/type[-instance] [option=value ...] time:value[:value ...]
//
// The identifier may be quoted, and its host may contain slashes, as the UIDs of a tenant's proxies do.
// Derives must be integers. The time "N", which stands for the time of receipt, is rejected, because a
// duplicated line would then look like a new report.
func parseLine(line string) (*api.ValueList, error) {
	if len(line) > maxLineBytes {
		return nil, invalidLine("%d bytes are too many", len(line))
	}
	rest, ok := strings.CutPrefix(line, putvalPrefix)
	if !ok {
		return nil, invalidLine("%.20q does not start with PUTVAL", line)
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
			return nil, invalidLine("invalid option %.20q", option)
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

// cutIdentifier splits the text after PUTVAL into the identifier, which may be quoted, and the rest of the line.
func cutIdentifier(text string) (id, rest string, err error) {
	quoted, isQuoted := strings.CutPrefix(text, `"`)
	if isQuoted {
		id, rest, ok := strings.Cut(quoted, `" `)
		if !ok {
			return "", "", invalidLine("unterminated quoted identifier")
		}
		return id, rest, nil
	}
	id, rest, ok := strings.Cut(text, " ")
	if !ok {
		return "", "", invalidLine("no values")
	}
	return id, rest, nil
}

// parseIdentifier parses "host/plugin[-instance]/type[-instance]", where the host may contain slashes.
func parseIdentifier(text string) (api.Identifier, error) {
	hostAndPlugin, valueType, ok := cutLastSlash(text)
	if !ok {
		return api.Identifier{}, invalidLine("invalid identifier %.40q", text)
	}
	host, plugin, ok := cutLastSlash(hostAndPlugin)
	if !ok || host == "" || plugin == "" || valueType == "" {
		return api.Identifier{}, invalidLine("invalid identifier %.40q", text)
	}
	id := api.Identifier{Host: host}
	id.Plugin, id.PluginInstance, _ = strings.Cut(plugin, "-")
	id.Type, id.TypeInstance, _ = strings.Cut(valueType, "-")
	return id, nil
}

// cutLastSlash splits a text at its last slash. It returns false if there is none.
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
		return invalidLine("invalid number of values: %d", len(values))
	}
	at, err := strconv.ParseFloat(parts[0], 64)
	isValid := at > 0 && at <= maxLineTime // false for NaN
	if err != nil || !isValid {
		return invalidLine("invalid time %.20q", parts[0])
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

// parseValue parses a value of a type: a finite gauge for uptimes, a non-negative integer derive for all other
// types.
func parseValue(valueType, text string) (api.Value, error) {
	if valueType == uptimeType {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !finite.Number(seconds) {
			return nil, invalidLine("invalid value %.20q", text)
		}
		return api.Gauge(seconds), nil
	}
	total, err := strconv.ParseInt(text, 10, 64)
	if err != nil || total < 0 {
		return nil, invalidLine("invalid value %.20q", text)
	}
	return api.Derive(total), nil
}
