package http1

import "testing"

func TestBodyReaderWithFragmentsOfAnySize(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + "5\r\nab\ncd\r\n" + "1;x=y\r\n\n\r\n" + "A\r\n0123456789\r\n"
	for size := 1; size < len(whole); size++ {
		var m Message
		var got, head []byte
		var body *BodyReader
		for from := 0; from < len(whole); from += size {
			b := []byte(whole[from:min(from+size, len(whole))])
			if body == nil {
				head = append(head, b...)
				n, reader, err := ParseResponseHead(head, DefaultLimits, &m)
				if err != nil {
					t.Fatal(err)
				}
				if n == 0 {
					continue
				}
				body = &reader
				b = head[n:]
			}
			if ended, err := body.Read(b, func(p []byte) { got = append(got, p...) }); ended || err != nil {
				t.Fatalf("fragments of %d bytes: ended %v, error %v", size, ended, err)
			}
		}
		if string(got) != "ab\ncd\n0123456789" || m.Status != 200 {
			t.Fatalf("fragments of %d bytes: wrong status, or wrong body %q", size, got)
		}
		if ended, err := body.Read([]byte("0\r\n\r\n"), nil); !ended || err != nil {
			t.Fatalf("after the last chunk: ended %v, error %v", ended, err)
		}
	}
	for _, bad := range []string{"x\r\n", "5\n", "1\r\nab\r\n", "123456789\r\n"} {
		body := newBodyReader(framing{kind: chunked}, DefaultLimits)
		if _, err := body.Read([]byte(bad), func([]byte) {}); err == nil {
			t.Errorf("%q was read without an error", bad)
		}
	}
}
