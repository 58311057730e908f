package abusetest

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"snowquay/internal/core/loadreport"
	"snowquay/internal/feed/collectd"
	"snowquay/internal/testaddress"
	"snowquay/internal/wire/peer"
	"snowquay/internal/wire/sasp"
)

// coordinatorAddresses are the addresses of a coordinator or a host.
type coordinatorAddresses struct{ sasp, http, metrics, admin, peers, measurements string }

// floodingReceiver starts a Graphite receiver that reads nothing and sends data at full speed. It returns its address.
func floodingReceiver(t *testing.T) string {
	t.Helper()
	return acceptEach(t, func(conn net.Conn) {
		for err := error(nil); err == nil; {
			_, err = conn.Write(make([]byte, 32<<10))
		}
	})
}

const (
	peerKey  = "sixteen bytes at least"
	staffKey = "change-this-key-of-the-staff"
)

// startCoordinator starts a coordinator with XML settings that is the only member of its group. more are further elements.
func startCoordinator(t *testing.T, more ...string) (*process, coordinatorAddresses) {
	t.Helper()
	return startLimitedCoordinator(t, descriptors, more...)
}

// startLimitedCoordinator is startCoordinator with a limit on file descriptors.
func startLimitedCoordinator(t *testing.T, descriptors int, more ...string) (*process, coordinatorAddresses) {
	t.Helper()
	at := coordinatorAddresses{sasp: testaddress.Next().String(), http: testaddress.Next().String(), metrics: testaddress.Next().String(), admin: testaddress.Next().String(),
		peers: testaddress.Next().String(), measurements: testaddress.Next().String()}
	example, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	text := strings.NewReplacer(
		`sasp="127.0.0.1:3860"`, fmt.Sprintf(`sasp=%q http=%q`, at.sasp, at.http),
		"127.0.0.1:25826", at.measurements,
		`metrics="127.0.0.1:9464"`, fmt.Sprintf(`metrics=%q admin=%q`, at.metrics, at.admin),
		"snowquay.db", dir+"/snowquay.db",
		`  <zone name="north"/>`, fmt.Sprintf(`  <group number="1" key=%q store=%q><peer number="1" address=%q/></group>
%s<caller name="ann" key=%q role="staff"/>
  <zone name="north"/>`, peerKey, dir+"/group.db", at.peers, strings.Join(more, ""), staffKey),
		`strangers="false"`, `strangers="true"`,
	).Replace(string(example))
	ready := allReady(newHTTP(at.http, "/openapi.json", http.StatusOK), newHTTP(at.metrics, "/metrics", http.StatusOK),
		newHTTP(at.admin, "/openapi.json", http.StatusOK))
	return startLimited(t, descriptors, nil, ready, "serve", writeFile(t, "settings.xml", text)), at
}

// halfMessage returns the beginning of a SASP message of a size, with half of its bytes.
func halfMessage(size int) []byte {
	message := sasp.Append(nil, &sasp.Message{Kind: sasp.GetWeights})
	binary.BigEndian.PutUint32(message[5:], uint32(size))
	return append(message, make([]byte, size/2-len(message))...)
}

func setBalancer(uid string) []byte {
	return sasp.Append(nil, &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid)})
}

// halfFrame returns the beginning of a frame between coordinators, with half of its bytes.
func halfFrame(size int) []byte {
	frame := peer.Append(nil, []byte("another key of at least sixteen bytes"), peer.Frame{From: 1, Kind: peer.Consensus})
	binary.BigEndian.PutUint32(frame[4:], uint32(size))
	return append(frame, make([]byte, size/2-len(frame))...)
}

// identifiedFrame returns a frame of an operator's tool that has the group's key.
func identifiedFrame() []byte {
	return peer.Append(nil, []byte(peerKey), peer.Frame{Kind: peer.StatusRequest})
}

// floodDatagrams sends unsigned and signed measurement packets of new proxies and servers.
func floodDatagrams(address, key string) abuse {
	return func(ctx context.Context, t *testing.T) {
		conn, err := net.Dial("udp", address)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		for i := 0; ctx.Err() == nil; i++ {
			writer := collectd.NewPacketWriter(float64(i), fmt.Sprint("relay-", i), "relays", key, func(b []byte) { _, _ = conn.Write(b) })
			writer.Traffic(fmt.Sprintf("10.0.%d.%d:80", i>>8&255, i&255), loadreport.Totals{Attempts: float64(i)})
			writer.Flush()
		}
	}
}

// coordinatorCases are the cases of a program that serves proxies by SASP and long polls, members of a group, metrics and
// administrators. uidPrefix is the beginning of the UIDs that it accepts, and key that of an administrator.
func coordinatorCases(uidPrefix, key string) map[string]func(at coordinatorAddresses) abuse {
	openAPI := constant("GET /openapi.json HTTP/1.1\r\nHost: x\r\n\r\n")
	poll := func(i int) []byte {
		return fmt.Appendf(nil, "GET /v1/proxies/%snew-%d/tables HTTP/1.1\r\nHost: x\r\n\r\n", uidPrefix, i)
	}
	metrics := constant("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
	authorization := "Authorization: Bearer " + key + "\r\n"
	status := constant("GET /v1/servers HTTP/1.1\r\nHost: x\r\n" + authorization + "\r\n")
	return map[string]func(at coordinatorAddresses) abuse{
		"SASP, half a message": func(at coordinatorAddresses) abuse { return hold(at.sasp, halfMessage(256<<10), []byte{0}) },
		"SASP, half a message, identified": func(at coordinatorAddresses) abuse {
			return holdEach(at.sasp, func(client int) []byte {
				return append(setBalancer(fmt.Sprint(uidPrefix, "relay-", client)), halfMessage(256<<10)...)
			}, []byte{0})
		},
		"SASP, slow": func(at coordinatorAddresses) abuse { return hold(at.sasp, halfMessage(64), []byte{0}) },
		"SASP, small messages": func(at coordinatorAddresses) abuse {
			return flood(at.sasp, false, nil, constant(string(sasp.Append(nil, &sasp.Message{Kind: sasp.GetWeights}))))
		},
		"SASP, new names": func(at coordinatorAddresses) abuse {
			return flood(at.sasp, false, nil, func(i int) []byte { return setBalancer(fmt.Sprint(uidPrefix, "new-", i)) })
		},
		"SASP, unsound":           func(at coordinatorAddresses) abuse { return flood(at.sasp, false, nil, constant("unsound")) },
		"HTTP, many short fields": func(at coordinatorAddresses) abuse { return hold(at.http, shortFields(8<<10), []byte("")) },
		"HTTP, half a body": func(at coordinatorAddresses) abuse {
			return hold(at.http, halfBody("/openapi.json", "", 1<<20), []byte("x"))
		},
		"HTTP, pipelined":            func(at coordinatorAddresses) abuse { return flood(at.http, false, nil, openAPI) },
		"HTTP, pipelined, unread":    func(at coordinatorAddresses) abuse { return several(100, flood(at.http, true, nil, openAPI)) },
		"HTTP, new names":            func(at coordinatorAddresses) abuse { return flood(at.http, false, nil, poll) },
		"HTTP, new names, unread":    func(at coordinatorAddresses) abuse { return several(20, flood(at.http, true, nil, poll)) },
		"HTTP, unsound":              func(at coordinatorAddresses) abuse { return flood(at.http, false, nil, constant("GET\r\n\r\n")) },
		"metrics, many short fields": func(at coordinatorAddresses) abuse { return hold(at.metrics, shortFields(900<<10), []byte("")) },
		"metrics, half a body": func(at coordinatorAddresses) abuse {
			return hold(at.metrics, halfBody("/metrics", "", 8<<20), []byte("x"))
		},
		"metrics, unread":                   func(at coordinatorAddresses) abuse { return several(50, flood(at.metrics, true, nil, metrics)) },
		"administration, many short fields": func(at coordinatorAddresses) abuse { return hold(at.admin, shortFields(900<<10), []byte("")) },
		"administration, half a body": func(at coordinatorAddresses) abuse {
			return hold(at.admin, halfBody("/v1/drains", authorization, 1<<20), []byte("x"))
		},
		"administration, pipelined": func(at coordinatorAddresses) abuse { return flood(at.admin, false, nil, status) },
		"administration, unread":    func(at coordinatorAddresses) abuse { return several(50, flood(at.admin, true, nil, status)) },
		"administration, wrong keys": func(at coordinatorAddresses) abuse {
			return flood(at.admin, false, nil, func(i int) []byte {
				return fmt.Appendf(nil, "GET /v1/servers HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-%d\r\n\r\n", i)
			})
		},
		"peers, half a frame": func(at coordinatorAddresses) abuse { return hold(at.peers, halfFrame(8<<20), []byte{0}) },
		"peers, half a frame, identified": func(at coordinatorAddresses) abuse {
			return hold(at.peers, append(identifiedFrame(), halfFrame(8<<20)...), []byte{0})
		},
		"peers, status requests": func(at coordinatorAddresses) abuse {
			return flood(at.peers, false, nil, constant(string(identifiedFrame())))
		},
		"peers, status requests, unread": func(at coordinatorAddresses) abuse {
			return several(20, flood(at.peers, true, nil, constant(string(identifiedFrame()))))
		},
		"peers, unsound":         func(at coordinatorAddresses) abuse { return flood(at.peers, false, nil, constant("unsound!")) },
		"measurements, unsigned": func(at coordinatorAddresses) abuse { return floodDatagrams(at.measurements, "") },
		"measurements, signed":   func(at coordinatorAddresses) abuse { return floodDatagrams(at.measurements, "change-this-key") },
	}
}

// memberAnswers returns a probe that asks a coordinator for the status of its group, as an operator's tool does.
func memberAnswers(address string) probe {
	return func() error {
		conn, err := net.DialTimeout("tcp", address, probeTimeout)
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(probeTimeout))
		if _, err := conn.Write(identifiedFrame()); err != nil {
			return err
		}
		_, err = conn.Read(make([]byte, 1))
		return err
	}
}

// retried returns a probe that tries again within maxAnswerTime, as members and operators' tools do.
func retried(other probe) probe {
	return func() error {
		var err error
		for begin := time.Now(); time.Since(begin) < maxAnswerTime; time.Sleep(probeInterval) {
			if err = other(); err == nil {
				return nil
			}
		}
		return err
	}
}

// Guards against a coordinator with XML settings that exceeds its memory limit, or leaves other clients without an answer.
func TestServe(t *testing.T) {
	inOrder(t, coordinatorCases("", staffKey), func(t *testing.T, name string, clients func(coordinatorAddresses) abuse) {
		p, at := startCoordinator(t)
		probes := bothProbes(connectedHTTP(t, at.http, "/openapi.json", http.StatusOK), newHTTP(at.http, "/openapi.json", http.StatusOK))
		switch {
		case strings.HasPrefix(name, "administration"):
			probes = bothProbes(probes, newHTTP(at.admin, "/openapi.json", http.StatusOK))
		case strings.HasPrefix(name, "peers"):
			probes = bothProbes(probes, retried(memberAnswers(at.peers)))
		case strings.HasPrefix(name, "metrics"):
			probes = bothProbes(probes, newHTTP(at.metrics, "/metrics", http.StatusOK))
		}
		runAbuse(t, p, probes, clients(at))
	})
}

// Guards against a Graphite receiver that reads nothing and sends data at full speed.
func TestServeBesideFloodingReceiver(t *testing.T) {
	p, at := startCoordinator(t, fmt.Sprintf(`<graphite address=%q prefix="snowquay" every="1"/>`, floodingReceiver(t)))
	runAbuse(t, p, newHTTP(at.http, "/openapi.json", http.StatusOK), func(ctx context.Context, _ *testing.T) { <-ctx.Done() })
}
