package tenancy

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// parseTestIdentity accepts a UID that ends with a full stop, and rejects a text that starts with an exclamation mark.
func parseTestIdentity(received []byte) (uid string, needMore bool, err error) {
	text := string(received)
	switch {
	case strings.HasPrefix(text, "!"):
		return "", false, errors.New("malformed")
	case strings.HasSuffix(text, "."):
		return strings.TrimSuffix(text, "."), false, nil
	}
	return "", true, nil
}

// testAddress returns an address in one of 256 networks.
func testAddress(network byte) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, network, 1}) }

// testRouter is a router with helpers to open connections, which get ascending numbers.
type testRouter struct {
	*ConnectionRouter
	t    *testing.T
	last Conn
}

// newTestRouter returns a router with the tenants "a" (two connections), "b" (from network 7 only) and "late" (starting).
func newTestRouter(t *testing.T) *testRouter {
	t.Helper()
	limits := DefaultRouterLimits
	limits.Unidentified = 4
	limits.UnidentifiedPerNetwork = 3
	limits.UnidentifiedBytes = 50
	limits.TotalBuffered = 100
	limits.AcceptRate = 20
	limits.AcceptBurst = 20
	r := NewConnectionRouter(1, limits, map[Frontend]IdentityParser{SASP: parseTestIdentity})
	if err := errors.Join(
		r.Set(1, "a", 1, 2, nil, true),
		r.Set(1, "b", 1, 9, []netip.Prefix{netip.MustParsePrefix("127.0.7.0/24")}, true),
		r.Set(1, "late", 1, 9, nil, false),
	); err != nil {
		t.Fatal(err)
	}
	return &testRouter{ConnectionRouter: r, t: t}
}

// open opens a connection from a network.
func (r *testRouter) open(now float64, network byte) Conn {
	r.t.Helper()
	r.last++
	if reason := r.Opened(now, r.last, testAddress(network), SASP); reason != NotRejected {
		r.t.Fatalf("the connection was rejected: %s", reason)
	}
	return r.last
}

// receive passes a text received on a connection to the router, and checks the result.
func (r *testRouter) receive(conn Conn, text string, wantReason RejectReason, wantTenant Name) RouteResult {
	r.t.Helper()
	result := r.Receive(1, conn, []byte(text))
	if result.Reason != wantReason || result.Tenant != wantTenant {
		r.t.Errorf("%q: reason \"%v\", tenant %q, want reason \"%v\", tenant %q", text, result.Reason, result.Tenant, wantReason, wantTenant)
	}
	return result
}

func TestConnectionsAreRoutedByTheirFirstMessage(t *testing.T) {
	r := newTestRouter(t)
	conn := r.open(1, 1)
	r.receive(conn, "a/re", NotRejected, "") // the message arrives in two parts
	if result := r.receive(conn, "lay.", NotRejected, "a"); string(result.Bytes) != "a/relay." {
		t.Errorf("the tenant receives %q, want both parts of the message", result.Bytes)
	}
	if name, ok := r.Tenant(conn); !ok || name != "a" {
		t.Error("the connection is not identified")
	}
	r.receive(r.open(1, 1), "!", MalformedIdentity, "")
	r.receive(r.open(1, 1), "A/relay.", MalformedIdentity, "")
	r.receive(r.open(1, 1), "none/relay.", UnknownTenant, "")
	r.receive(r.open(1, 1), "late/relay.", TenantStarting, "late")
	r.receive(r.open(1, 1), strings.Repeat("x", 60), MalformedIdentity, "")
	r.receive(r.open(1, 1), "b/relay.", NetworkNotAllowed, "")
	r.receive(r.open(1, 7), "b/relay.", NotRejected, "b")
	r.receive(r.open(1, 1), "a/other.", NotRejected, "a")
	r.receive(r.open(1, 1), "a/third.", TenantConnectionsFull, "")
	r.Closed(conn)
	r.receive(r.open(1, 1), "a/third.", NotRejected, "a")
	if identified, unidentified, buffered := r.Count(); identified != 3 || unidentified != 0 || buffered != 0 {
		t.Errorf("%d identified connections, %d unidentified ones with %d bytes; want 3, 0, 0", identified, unidentified, buffered)
	}
	if connections := r.Remove("a"); len(connections) != 2 {
		t.Errorf("the connections of tenant a were %v, want two", connections)
	}
	r.receive(r.open(1, 1), "a/relay.", UnknownTenant, "")
}

// Unidentified connections are limited per network, so that one network leaves room for others, and in total. They expire.
func TestUnidentifiedConnectionsAreLimited(t *testing.T) {
	r := newTestRouter(t)
	for range 3 {
		r.open(2, 1)
	}
	if r.Opened(2, 100, testAddress(1), SASP) != TooManyUnidentified {
		t.Error("one network may exceed its limit of unidentified connections")
	}
	r.open(2, 2)
	if r.Opened(2, 101, testAddress(3), SASP) != TooManyUnidentified {
		t.Error("the total number of unidentified connections is unlimited")
	}
	if expired := r.TakeExpired(2 + r.limits.IdentifyTimeout/2); len(expired) != 0 {
		t.Error("connections expired too soon:", expired)
	}
	if expired := r.TakeExpired(2.1 + r.limits.IdentifyTimeout); len(expired) != 4 {
		t.Error("not all connections have expired, only", expired)
	}
	r.open(9, 1)
}

// If many proxies of one tenant connect at once, some are rejected; the proxies of another tenant are all accepted.
func TestAcceptRateIsSharedFairly(t *testing.T) {
	limits := DefaultRouterLimits
	limits.AcceptRate = 100
	limits.AcceptBurst = 100
	r := NewConnectionRouter(1, limits, map[Frontend]IdentityParser{SASP: parseTestIdentity})
	for _, name := range []Name{"a", "b"} {
		if err := r.Set(1, name, 1, 1<<20, nil, true); err != nil {
			t.Fatal(err)
		}
	}
	conn := Conn(0)
	accepted := map[Name]int{}
	rateLimited := map[Name]int{}
	connect := func(now float64, name Name) {
		conn++
		r.Opened(now, conn, testAddress(0), SASP)
		result := r.Receive(now, conn, fmt.Appendf(nil, "%s/x.", name))
		switch {
		case result.Reason == NotRejected:
			accepted[name]++
		case result.Reason == AcceptRateExceeded && result.RetryAfter > 0:
			rateLimited[name]++
		}
	}
	for now := 1.0; now < 11; now += 0.01 {
		for range 20 {
			connect(now, "a")
		}
		if int(now*100)%10 == 0 {
			connect(now, "b")
		}
	}
	if rateLimited["b"] > 0 || accepted["b"] < 90 || accepted["a"] > 1150 || rateLimited["a"] == 0 {
		t.Errorf("accepted %v, want at most 1150 of a and at least 90 of b; rejected by the accept rate %v, want some of a and none of b", accepted, rateLimited)
	}
}

// Guards against strangers that hold connections while others wait: the oldest ones are taken, whatever their order in the map.
func TestOldestUnidentifiedConnectionsAreTaken(t *testing.T) {
	r := newTestRouter(t)
	first := r.open(1, 1)
	second := r.open(1.5, 1)
	third := r.open(2, 2)
	if taken := r.TakeUnidentified(2.1, 0.5, 1); !slices.Equal(taken, []Conn{first}) {
		t.Errorf("connections %v were taken, want %v", taken, first)
	}
	if taken := r.TakeUnidentified(2.1, 0.5, 5); !slices.Equal(taken, []Conn{second}) {
		t.Errorf("connections %v were taken, want %v", taken, second)
	}
	if _, unidentified, _ := r.Count(); unidentified != 1 {
		t.Errorf("%d connections are unidentified, want connection %v", unidentified, third)
	}
}
