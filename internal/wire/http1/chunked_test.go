package http1

import (
	"errors"
	"strings"
	"testing"
)

func TestChunkDecoderLimits(t *testing.T) {
	const maxBody = 10
	const maxTrailers = 20
	// A line is also bounded while its end is incomplete, so that one of exactly the limit is accepted only if
	// its end comes at once.
	longLine := "3;" + strings.Repeat("x", maxChunkLine-1-len("3;"))
	for name, test := range map[string]struct {
		text   string
		status int // 0 if the body is accepted
	}{
		"empty":                        {"0\r\n\r\n", 0},
		"chunks up to the limit":       {"5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n", 0},
		"one byte over the limit":      {"5\r\nhello\r\n6\r\n", statusContentTooLarge},
		"longest line of a size":       {longLine + "\r\nabc\r\n0\r\n\r\n", 0},
		"a line of a size too long":    {longLine + "xx\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"an endless line of a size":    {longLine + "xx", statusBadRequest},
		"a bare LF after a size":       {"3\nabc\r\n0\r\n\r\n", statusBadRequest},
		"a bare LF after the data":     {"3\r\nabc\n0\r\n\r\n", statusBadRequest},
		"data beyond the size":         {"3\r\nabcd\r\n0\r\n\r\n", statusBadRequest},
		"a size with too many digits":  {"000000003\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"a size with a sign":           {"+3\r\nabc\r\n0\r\n\r\n", statusBadRequest},
		"trailers up to the limit":     {"0\r\n" + strings.Repeat("t", maxTrailers-3) + "\r\n\r\n", 0},
		"one byte of trailers over it": {"0\r\n" + strings.Repeat("t", maxTrailers-1) + "\r\n\r\n", statusHeadTooLarge},
		"a bare LF in a trailer":       {"0\r\na: b\nc\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.text); size++ {
				checkInPieces(t, chunkDecoder{maxBody: maxBody, maxTrailers: maxTrailers}, test.text, size, test.status)
			}
		})
	}
}

// checkInPieces decodes a body in pieces of a size and compares the outcome.
func checkInPieces(t *testing.T, decoder chunkDecoder, text string, size, status int) {
	t.Helper()
	var err error
	for rest := text; rest != "" && err == nil; {
		piece := rest[:min(size, len(rest))]
		rest = rest[len(piece):]
		_, err = decoder.decode([]byte(piece), func([]byte) {})
	}
	if status == 0 {
		if err != nil || decoder.state != chunksEnded {
			t.Errorf("in pieces of %d: %v, state %d", size, err, decoder.state)
		}
		return
	}
	var typed *Error
	if !errors.As(err, &typed) || typed.Status != status {
		t.Errorf("in pieces of %d: %v, want status %d", size, err, status)
	}
}
