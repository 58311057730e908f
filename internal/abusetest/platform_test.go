package abusetest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"snowquay/internal/testaddress"
	"snowquay/internal/wire/resp"
)

const platformSettings = `{"balancers":1,"discovery":"pushed","zones":["a","b"],"host-types":["m"],"family-info":{"data-plane-size":9,
"default-retry":1,"egress-per-s":1600,"pending-max":1600,"per-message":3,"period":0.5,"propagation":0.4,"late-most":1,
"level-kind":"fraction","unserved-max":2.7,"update-window":10},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free",
"points":3}],"guarantees":{"cold":18,"cold-from":0.2,"fall":1.5,"fall-multiple":3,"stop-sending-within":2.3},
"policy-limits":{"may-probe":true},"report":{"how":"piggyback","names":["q","busy"]}}`

const platformServers = `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9","zone":"a","kind":"m","state":"ready","weight":1},` +
	`{"id":"s-2","addr":"127.0.0.1:9","zone":"b","kind":"m","state":"ready","weight":1}]}`

// servePeer answers each line on loopback connections until the end of the test. It returns its address.
func servePeer(t *testing.T, respond func(line string) string) string {
	t.Helper()
	return acceptEach(t, func(conn net.Conn) { answerLines(conn, respond) })
}

func answerLines(conn net.Conn, respond func(line string) string) {
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, respond(line)); err != nil {
			return
		}
	}
}

func relayAnswer(line string) string {
	var call struct {
		ID     int    `json:"id"`
		Method string `json:"method"`
		Params struct {
			Commands []any `json:"changes"`
		} `json:"params"`
	}
	_ = json.Unmarshal([]byte(line), &call)
	if call.Method == "relay.watch" {
		return fmt.Sprintf(`{"id":%d,"result":true}`+"\n"+
			`{"method":"attach","params":{"sidecar":1,"az":"a","share":2,"standing":true}}`+"\n", call.ID)
	}
	return fmt.Sprintf(`{"id":%d,"result":{"accepted":%d}}`+"\n", call.ID, len(call.Params.Commands))
}

func discoveryAnswer(line string) string {
	if line != "\r\n" {
		return ""
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(platformServers)+1, platformServers)
}

var (
	platformHello = resp.Append(nil, "telemetry", "az", "a")
	platformCheck = resp.Append(nil, "hb")
	platformReady = resp.Append(nil, "hb_ok")
)

// startPlatform starts the coordinator on the platform and returns its address.
func startPlatform(t *testing.T) (*process, string) {
	t.Helper()
	address := testaddress.Next().String()
	relay := servePeer(t, relayAnswer)
	discovery := servePeer(t, discoveryAnswer)
	path := writeFile(t, "config.json", fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"hub":{"address":%q},"seed":"8c1f30d27a5be964",
"limits":{"cores":0.5,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`, address, discovery, relay, maxResidentMB, descriptors,
		platformServers, platformSettings))
	p := startProcess(t, []string{"PROXY_CONFIG=" + path}, newCollector(address), "platform")
	return p, address
}

// newCollector returns a probe that checks the readiness on a new connection each time.
func newCollector(address string) probe {
	return func() error {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(probeTimeout))
		if _, err := conn.Write(platformCheck); err != nil {
			return err
		}
		answer := make([]byte, len(platformReady))
		_, err = io.ReadFull(conn, answer)
		return err
	}
}

func upstreamReport(server, window string) []byte {
	return resp.Append(nil, "upstream_stats", "az", "a", "host", server, "n", "12", "bad", "3", "avg", "41.7", "window", window)
}

// Guards against a coordinator on the platform that exceeds its memory limit, or leaves other clients without an answer.
func TestPlatform(t *testing.T) {
	half := append([]byte("*4\r\n$14\r\nupstream_stats\r\n$1000000\r\n"), bytes.Repeat([]byte("x"), 500_000)...)
	fields := append([]byte("*512\r\n"), bytes.Repeat([]byte("$1\r\na\r\n"), 500)...)
	metrics := strings.Repeat("a:1,", 250_000) + "a:1"
	identified := func(b []byte) []byte { return append(bytes.Clone(platformHello), b...) }
	cases := map[string]func(address string) abuse{
		"half a large message":               func(a string) abuse { return hold(a, identified(half), []byte("x")) },
		"half a large message, unidentified": func(a string) abuse { return hold(a, half, []byte("x")) },
		"many short fields":                  func(a string) abuse { return hold(a, identified(fields), []byte("")) },
		"slow":                               func(a string) abuse { return hold(a, identified([]byte("*4\r\n")), []byte("$")) },
		"reports": func(a string) abuse {
			return flood(a, false, platformHello, constant(string(upstreamReport("s-1", "1000"))))
		},
		"long reports": func(a string) abuse {
			return flood(a, false, platformHello, constant(string(upstreamReport("s-1", "60000"))))
		},
		"demand": func(a string) abuse {
			return flood(a, false, platformHello, constant(string(resp.Append(nil, "client_stats", "sidecar", "1", "kind", "lookup", "n", "2", "bad", "0", "window", "1000"))))
		},
		"unsound reports": func(a string) abuse {
			return flood(a, false, platformHello, constant(string(upstreamReport("s-1", "x"))))
		},
		"new names": func(a string) abuse {
			return flood(a, false, platformHello, func(i int) []byte { return upstreamReport(fmt.Sprint("s-", i), "1000") })
		},
		"large load reports": func(a string) abuse {
			return flood(a, false, platformHello, constant(string(resp.Append(nil, "upstream_stats", "az", "a", "host", "s-1", "n", "12", "bad", "3", "avg", "41.7", "window", "1000", "report", metrics))))
		},
		"unread readiness checks": func(a string) abuse {
			return several(50, flood(a, true, platformHello, constant(string(platformCheck))))
		},
		"connections": func(a string) abuse { return several(8, flood(a, false, nil, constant("x"))) },
	}
	inOrder(t, cases, func(t *testing.T, _ string, clients func(address string) abuse) {
		p, address := startPlatform(t)
		probes := bothProbes(connected(t, address, platformHello, platformCheck, platformReady), newCollector(address))
		runAbuse(t, p, probes, clients(address))
	})
}
