package balancer

import "testing"

func TestFreshBalancerUsesListedWeights(t *testing.T) {
	h := defaultSite().start()
	endpoints := []Endpoint{{Server: "a", Weight: 3}, {Server: "b", Weight: 1}}
	h.reconcile(100, Events{
		Lists:       []EndpointList{{Endpoints: endpoints}},
		ProxyEvents: []ProxyEvent{joined(1, 5)},
	})
	if got := h.tables[1]["a"] / h.tables[1]["b"]; got != 3 {
		t.Errorf("weights stand as %v to 1, want 3", got)
	}
}

// Guards against a list that names servers which do not exist.
func TestNewServersGetLittleUntilObserved(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	var added []Endpoint
	for i := range 20 {
		added = append(added, Endpoint{Server: serverName(40 + i), Weight: 1})
	}
	h.reconcile(h.now+1, Events{Lists: deltaList(added...)})
	h.runSeconds(8, 100, healthy)
	if got := h.share(serverName(45)); got > 0.01 {
		t.Errorf("one of 20 servers that answer nothing has a share of %.3f", got)
	}
}
