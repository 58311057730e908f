package abusetest

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
)

// clientsAtEachFront is the number of connections of each of the groups that hold them. All groups together have more than the process
// has descriptors.
const clientsAtEachFront = 200

// together returns several groups of clients at once.
func together(groups ...abuse) abuse {
	return func(ctx context.Context, t *testing.T) {
		var running sync.WaitGroup
		for _, group := range groups {
			running.Go(func() { group(ctx, t) })
		}
		running.Wait()
	}
}

// allFronts returns cases whose clients are those of many other cases at once: some that hold their connections, and some that send at
// full speed.
func allFronts(cases map[string]func(coordinatorAddresses) abuse) map[string]func(coordinatorAddresses) abuse {
	clientsOf := func(texts ...string) func(coordinatorAddresses) abuse {
		return func(at coordinatorAddresses) abuse {
			var groups []abuse
			for name, clients := range cases {
				if slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(name, text) }) {
					groups = append(groups, clients(at))
				}
			}
			return withClientCount(clientsAtEachFront, together(groups...))
		}
	}
	return map[string]func(coordinatorAddresses) abuse{
		"holding":  clientsOf("half a", "short fields", "slow"),
		"flooding": clientsOf("unsound", "pipelined", "new names", "unread"),
	}
}

// Guards against limits that hold for each front and not for all of them together.
func TestServeAtAllFrontsAtOnce(t *testing.T) {
	inOrder(t, allFronts(coordinatorCases("", staffKey)), func(t *testing.T, _ string, clients func(coordinatorAddresses) abuse) {
		p, at := startCoordinator(t)
		runAbuse(t, p, newHTTP(at.http, "/openapi.json", http.StatusOK), clients(at))
	})
}

// Guards against the same in a host of many tenants.
func TestHostAtAllFrontsAtOnce(t *testing.T) {
	inOrder(t, allFronts(hostCases()), func(t *testing.T, _ string, clients func(coordinatorAddresses) abuse) {
		p, at := startHost(t)
		path := "/v1/proxies/first%2Frelay-1/tables?wait=0"
		awaitStatus(t, at.http, path)
		runAbuse(t, p, newHTTP(at.http, path, http.StatusOK, http.StatusTooManyRequests), clients(at))
	})
}

// Guards against the same in a proxy.
func TestProxyAtAllFrontsAtOnce(t *testing.T) {
	p, address, metrics := startProxy(t, http.HandlerFunc(answerShort))
	clients := together(
		hold(address, halfBody("/search/a", "", maxRequestBody), []byte("x")),
		hold(address, shortFields(16<<10), []byte("a")),
		hold(address, chunkedRequest(10_000), []byte("1\r\nx\r\n")),
		hold(metrics, halfBody("/metrics", "", 8<<20), []byte("x")),
		hold(metrics, shortFields(900<<10), []byte("a")),
		several(20, flood(address, true, nil, constant(searchRequest))),
	)
	runAbuse(t, p, newHTTP(address, "/search/b", http.StatusOK, http.StatusServiceUnavailable), clients)
}

// strangersAt are clients that do not say who they are, more than a process with halfDescriptors has descriptors for.
func strangersAt(at coordinatorAddresses) map[string]abuse {
	return map[string]abuse{
		"SASP, silent":         hold(at.sasp, nil, nil),
		"SASP, half a message": hold(at.sasp, halfMessage(1000), []byte{0}),
		"HTTP, silent":         hold(at.http, nil, nil),
		"HTTP, half a head":    hold(at.http, []byte("GET /openapi.json HTTP/1.1\r\n"), []byte("a")),
		"SASP and HTTP":        withClientCount(holdingClients/2, together(hold(at.sasp, nil, nil), hold(at.http, nil, nil))),
	}
}

// halfDescriptors is less than the clients of a case need.
const halfDescriptors = descriptors / 2

// Guards against more clients than the process has descriptors for: the event loop of the coordinator ended, and the process ran on
// without answering anybody.
func TestServeWithoutFreeDescriptors(t *testing.T) {
	inOrder(t, strangersAt(coordinatorAddresses{}), func(t *testing.T, name string, _ abuse) {
		p, at := startLimitedCoordinator(t, halfDescriptors)
		runAbuse(t, p, newHTTP(at.http, "/openapi.json", http.StatusOK), strangersAt(at)[name])
	})
}

// Guards against the same in a host of many tenants.
func TestHostWithoutFreeDescriptors(t *testing.T) {
	inOrder(t, strangersAt(coordinatorAddresses{}), func(t *testing.T, name string, _ abuse) {
		p, at := startLimitedHost(t, halfDescriptors)
		path := "/v1/proxies/first%2Frelay-1/tables?wait=0"
		awaitStatus(t, at.http, path)
		runAbuse(t, p, newHTTP(at.http, path, http.StatusOK, http.StatusTooManyRequests), strangersAt(at)[name])
	})
}
