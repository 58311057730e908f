package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func TestRequestInFragmentsOfAnySize(t *testing.T) {
	for name, c := range map[string]struct{ text, body string }{
		"no body": {"GET /a?b=c HTTP/1.1\r\nHost: x\r\nAccept: *\r\n\r\n", ""},
		"length":  {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		"chunks":  {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nTrail: er\r\n\r\n", "hello"},
	} {
		var m Message
		for i := range c.text {
			if n, err := ParseRequest([]byte(c.text[:i]), DefaultLimits, &m); n != 0 || err != nil {
				t.Fatalf("%s: with %d of %d bytes: length %d, error %v", name, i, len(c.text), n, err)
			}
		}
		n, err := ParseRequest([]byte(c.text+"GET"), DefaultLimits, &m)
		if n != len(c.text) || err != nil || string(m.Body) != c.body || m.Close {
			t.Fatalf("%s: length %d, error %v, message %+v", name, n, err, m)
		}
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(AppendRequest(nil, &m, Field{Name: "Via", Value: "1.1 x"}))))
		if err != nil || r.URL.Path != "/a" || r.Header.Get("Via") != "1.1 x" || r.Header.Get("Transfer-Encoding") != "" {
			t.Fatalf("%s: forwarded as %+v, error %v", name, r, err)
		}
		if b, _ := io.ReadAll(r.Body); string(b) != c.body {
			t.Errorf("%s: forwarded body is %q", name, b)
		}
	}
}

// Requests that another program might frame differently are rejected, to prevent request smuggling.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("x", 20000)
	for text, status := range map[string]int{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n": 400,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nabcd":               400,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +4\r\n\r\nabcd":                                   400,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4, 4\r\n\r\nabcd":                                 400,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 4\r\n\r\nabcd":                                   400,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n":                              501,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, chunked\r\n\r\n":                      501,
		"POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n":                               501,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n0\r\n\r\n":        400,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n":         400,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n":                   413,
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n":                                 413,
		"GET / HTTP/1.1\r\nHost: x\r\n folded: y\r\n\r\n":                                                400,
		"GET / HTTP/1.1\r\nHost: x\r\nA: b\nC: d\r\n\r\n":                                                400,
		"GET / HTTP/1.1\r\nHost: x\r\nA: b\x00\r\n\r\n":                                                  400,
		"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n":                                                   400,
		"GET / HTTP/1.1\r\n\r\n":                                                   400,
		"GET  / HTTP/1.1\r\nHost: x\r\n\r\n":                                       400,
		"GET http://y/ HTTP/1.1\r\nHost: x\r\n\r\n":                                400,
		"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n":                                  400,
		"GET / HTTP/2.0\r\nHost: x\r\n\r\n":                                        505,
		"GET / HTTP/1.1\r\nHost: x\r\nExpect: magic\r\n\r\n":                       417,
		"GET / HTTP/1.1\r\nHost: x\r\nA: " + long + "\r\n\r\n":                     431,
		"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("A: b\r\n", 101) + "\r\n": 431,
	} {
		var m Message
		n, err := ParseRequest([]byte(text), DefaultLimits, &m)
		var e *Error
		if !errors.As(err, &e) || e.Status != status || n != 0 {
			t.Errorf("%.90q: length %d, error %v, want status %d", text, n, err, status)
		}
	}
}

func TestResponse(t *testing.T) {
	var m Message
	text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: X-A\r\nX-A: hop\r\nX-B: end\r\n\r\nok"
	n, err := ParseResponse([]byte(text+"HTTP"), "GET", DefaultLimits, &m)
	if n != len(text) || err != nil || string(m.Body) != "ok" {
		t.Fatal(n, err, m)
	}
	if b := string(AppendResponse(nil, &m, "GET", true)); b != "HTTP/1.1 200 OK\r\nX-B: end\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok" {
		t.Errorf("forwarded as %q", b)
	}
	text = "HTTP/1.0 200 OK\r\n\r\nuntil the end"
	if n, err := ParseResponse([]byte(text), "GET", DefaultLimits, &m); n != 0 || err != nil || !m.UntilClose {
		t.Fatal(n, err)
	}
	if err := CompleteResponseAtEOF([]byte(text), &m); err != nil || string(m.Body) != "until the end" || !m.Close {
		t.Errorf("completed at the end of the connection: error %v, message %+v", err, m)
	}
	for _, c := range []string{"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"} {
		if n, err := ParseResponse([]byte(c+"rest"), "GET", DefaultLimits, &m); n != len(c) || err != nil {
			t.Errorf("%q: length %d, error %v", c, n, err)
		}
	}
	head := "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n"
	if n, err := ParseResponse([]byte(head), "HEAD", DefaultLimits, &m); n != len(head) || err != nil ||
		!strings.Contains(string(AppendResponse(nil, &m, "HEAD", false)), "Content-Length: 70") {
		t.Errorf("response to HEAD: length %d, error %v, or Content-Length not forwarded", n, err)
	}
	for _, bad := range []string{"HTTP/1.1 2000 OK\r\n\r\n", "hello\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"} {
		if _, err := ParseResponse([]byte(bad), "GET", DefaultLimits, &m); err == nil {
			t.Errorf("%q was parsed without an error", bad)
		}
	}
	if CompleteResponseAtEOF([]byte("x"), &Message{}) == nil {
		t.Error("a response that ended too early was completed without an error")
	}
}

// Any request that both this package and net/http accept is framed identically by both.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n0\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		n, err := ParseRequest(b, DefaultLimits, &m)
		if err != nil || n == 0 {
			return
		}
		in := bytes.NewReader(b)
		buf := bufio.NewReader(in)
		r, err := http.ReadRequest(buf)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !bytes.Equal(body, m.Body) {
			t.Errorf("body is %q, net/http reads %q", m.Body, body)
		}
		if rest := in.Len() + buf.Buffered(); len(m.Body) > 0 && len(b)-n != rest {
			t.Errorf("%d bytes follow the request, with net/http %d", len(b)-n, rest)
		}
	})
}

// Guards against a request in many small pieces that is parsed from its beginning with each of them: a parser that continues where it
// stopped returns the same as one that is passed the whole.
func TestParserInFragmentsOfAnySize(t *testing.T) {
	limits := Limits{Head: 200, Body: 100, Fields: 5}
	rapid.Check(t, func(t *rapid.T) {
		data := []byte(rapid.SampledFrom([]string{"POST", "GET", "G T"}).Draw(t, "method") + " /a HTTP/1.1\r\nHost: x\r\n")
		body := rapid.SliceOfN(rapid.Byte(), 0, 120).Draw(t, "body")
		if rapid.Bool().Draw(t, "chunked") {
			data = append(data, "Transfer-Encoding: chunked\r\n\r\n"...)
			for rest := body; len(rest) > 0; {
				size := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				data = fmt.Appendf(data, "%x\r\n%s\r\n", size, rest[:size])
				rest = rest[size:]
			}
			data = append(data, "0\r\n\r\n"...)
		} else {
			data = fmt.Appendf(data, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
		data = append(data, "GET /next"...)
		var whole, pieces Message
		wantLength, wantErr := ParseRequest(data, limits, &whole)
		var parser Parser
		length := 0
		var err error
		for end := 0; end < len(data) && length == 0 && err == nil; {
			end += rapid.IntRange(1, len(data)-end).Draw(t, "fragment")
			length, err = parser.Request(data[:end], limits, &pieces)
		}
		if length != wantLength || (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(pieces.Body, whole.Body) {
			t.Fatalf("%q: length %d, error %v, body %q; want %d, %v, %q", data, length, err, pieces.Body, wantLength, wantErr, whole.Body)
		}
	})
}

// A body in chunks of one byte costs as much time as its length, not as the square of it.
func TestParserReadsEachByteOnce(t *testing.T) {
	limits := Limits{Head: 200, Body: 1 << 20, Fields: 5}
	data := append([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte("1\r\nx\r\n"), 150_000)...)
	var parser Parser
	var request Message
	for end := 100; end < len(data); end += 100 {
		if _, err := parser.Request(data[:end], limits, &request); err != nil {
			t.Fatal(err)
		}
		if parsed := parser.headLength + parser.decoded; parsed != end {
			t.Fatalf("%d of %d bytes have been read", parsed, end)
		}
	}
}
