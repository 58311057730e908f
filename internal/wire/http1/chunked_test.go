package http1

import (
	"errors"
	"strings"
	"testing"
)

func TestChunkDecoderLimits(t *testing.T) {
	const maxBody = 10
	const maxTrailers = 20
	// The limit also applies while the line ending is incomplete. Therefore a line of exactly the maximum length is
	// accepted only if its CRLF is received in one fragment.
	longLine := "3;" + strings.Repeat("x", maxChunkLine-1-len("3;"))
	for name, test := range map[string]struct {
		text   string
		status int // 0 if the body is accepted
	}{
		"empty":                            {"0\r\n\r\n", 0},
		"chunks up to the limit":           {"5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n", 0},
		"one byte over the limit":          {"5\r\nhello\r\n6\r\n", statusContentTooLarge},
		"longest chunk-size line":          {longLine + "\r\nabc\r\n0\r\n\r\n", 0},
		"chunk-size line too long":         {longLine + "xx\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"unterminated chunk-size line":     {longLine + "xx", statusBadRequest},
		"bare LF after a chunk size":       {"3\nabc\r\n0\r\n\r\n", statusBadRequest},
		"bare LF after chunk data":         {"3\r\nabc\n0\r\n\r\n", statusBadRequest},
		"more data than the chunk size":    {"3\r\nabcd\r\n0\r\n\r\n", statusBadRequest},
		"chunk size with too many digits":  {"000000003\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"chunk size with a sign":           {"+3\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"trailers up to the limit":         {"0\r\n" + strings.Repeat("t", maxTrailers-3) + "\r\n\r\n", 0},
		"trailers one byte over the limit": {"0\r\n" + strings.Repeat("t", maxTrailers-1) + "\r\n\r\n", statusHeadTooLarge},
		"bare LF in a trailer":             {"0\r\na: b\nc\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				checkInFragments(t, chunkDecoder{maxBody: maxBody, maxTrailers: maxTrailers}, test.text, size, test.status)
			}
		})
	}
}

// checkInFragments decodes a body in fragments of the given size and checks the resulting status.
func checkInFragments(t *testing.T, decoder chunkDecoder, text string, size, status int) {
	t.Helper()
	var err error
	for rest := text; rest != "" && err == nil; {
		fragment := rest[:min(size, len(rest))]
		rest = rest[len(fragment):]
		_, _, err = decoder.decode([]byte(fragment), nil)
	}
	if status == 0 {
		if err != nil || decoder.state != chunksEnded {
			t.Errorf("fragments of %d bytes: error %v, state %d", size, err, decoder.state)
		}
		return
	}
	var typed *Error
	if !errors.As(err, &typed) || typed.Status != status {
		t.Errorf("fragments of %d bytes: error %v, want status %d", size, err, status)
	}
}
