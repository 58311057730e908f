package balancer

import "testing"

func TestNewBalancerUsesListedWeights(t *testing.T) {
	h := defaultSite().start()
	endpoints := []Endpoint{{Server: "a", Weight: 3}, {Server: "b", Weight: 1}}
	h.reconcile(100, Events{
		Lists:       []EndpointList{{Endpoints: endpoints}},
		ProxyEvents: []ProxyEvent{joined(1, 5)},
	})
	if got := h.tables[1]["a"] / h.tables[1]["b"]; got != 3 {
		t.Errorf("ratio of the weights is %v, want 3", got)
	}
}

// Guards against sending much traffic to listed servers that do not exist.
func TestNewServersGetSmallShareUntilObserved(t *testing.T) {
	h := startSettled(t, defaultSite(), 6)
	var added []Endpoint
	for i := range 20 {
		added = append(added, Endpoint{Server: serverName(40 + i), Weight: 1})
	}
	h.reconcile(h.now+1, Events{Lists: deltaList(added...)})
	h.runSeconds(8, 100, healthy)
	if got := h.share(serverName(45)); got > 0.01 {
		t.Errorf("one of 20 servers that do not respond has a share of %.3f, want at most 0.01", got)
	}
}
