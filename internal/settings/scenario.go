package settings

import (
	"os"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// ClassMix describes the requests of a class in the traffic of a scenario.
type ClassMix struct {
	Class string
	Share float64 // fraction of all requests
	Work  float64 // mean processing time on one core in seconds
}

// Scenario is a test run with emulated servers, proxies and clients, and with injected faults.
type Scenario struct {
	Coordinator        *Coordinator
	coordinator        *node // element from which Coordinator was read
	Seconds            float64
	Seed               uint64
	Cores, Queue       int     // cores and queue capacity of each server
	Slowest, Fastest   float64 // range of the servers' speed
	Rate               float64 // requests per second
	Spread             float64 // the busiest proxy has up to exp(2*Spread) times the traffic of the least busy
	Keys               int
	Classes            []ClassMix
	Split, Loss        float64 // probabilities that a message is split and that a packet is lost
	Duplication, Delay float64 // probability that a packet is duplicated, and maximum delay of a packet in seconds
	Faults             []Fault
	Model              ServerModel
	Clients            ClientModel
}

// ServerModel is the behaviour of emulated servers, apart from their speed. A zero value disables a feature.
type ServerModel struct {
	ConnectionLimit                  int
	ConnectionCost                   float64 // processing time of a new connection on one core in seconds
	KeyCacheDuration, KeyCacheSaving float64 // seconds that a key is cached, and fraction of the work that this saves
	MaxCachedKeys                    int     // maximum number of cached keys
	CancelsWork                      bool    // a request is no longer processed once its client has given up
}

// ClientModel is the behaviour of emulated clients.
type ClientModel struct {
	Popularity float64 // exponent of the Zipf distribution of keys
	Retries    int     // maximum number of retries of a request
	RetryWait  float64 // mean delay of a retry in seconds
	Patience   float64 // fraction of the client timeout after which a client gives up
}

// maxShareError is the tolerance for the sum of the shares of the classes, which must be 1.
const maxShareError = 0.001

// LoadScenario reads a scenario file. The given guards are disabled, so that tests can show that the guards are
// needed.
func LoadScenario(path string, disabledGuards ...controlplane.Guard) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(path, text, disabledGuards...)
}

// ParseScenario parses the text of a scenario file, like LoadScenario. The name is used in error messages.
func ParseScenario(name string, text []byte, disabledGuards ...controlplane.Guard) (*Scenario, error) {
	return readDocument(name, text, "day", func(root *node) (*Scenario, error) {
		return readScenario(root, disabledGuards)
	})
}

func readScenario(root *node, disabledGuards []controlplane.Guard) (*Scenario, error) {
	coordinator, err := readCoordinator(root.firstChild("coordinator"), disabledGuards)
	if err != nil {
		return nil, err
	}
	dec := newDecoder()
	for i, name := range coordinator.Site.Zones {
		dec.zones[name] = balancer.Zone(i)
	}
	scenario := &Scenario{
		Coordinator: coordinator,
		coordinator: root.firstChild("coordinator"),
		Seconds:     root.number("seconds"),
		Seed:        uint64(root.int("seed")),
	}
	dec.readServerModel(root.firstChild("servers"), scenario)
	dec.readTraffic(root.firstChild("queries"), scenario)
	if network := root.firstChild("net"); network != nil {
		scenario.Split = network.number("split")
		scenario.Loss = network.number("loss")
		scenario.Duplication = network.number("double")
		scenario.Delay = network.number("late")
	}
	for _, n := range root.childrenNamed("trouble") {
		scenario.Faults = append(scenario.Faults, dec.readFault(n, scenario))
	}
	return scenario, dec.err()
}

func (d *decoder) readServerModel(n *node, scenario *Scenario) {
	scenario.Cores = n.int("cores")
	scenario.Queue = n.int("queue")
	scenario.Slowest = n.number("slowest")
	scenario.Fastest = n.number("fastest")
	if scenario.Slowest > scenario.Fastest {
		d.addError(n, "slowest is greater than fastest")
	}
	scenario.Model = ServerModel{
		ConnectionLimit:  n.int("connections"),
		ConnectionCost:   n.number("connection-work"),
		KeyCacheDuration: n.number("key-for"),
		KeyCacheSaving:   n.number("key-less"),
		MaxCachedKeys:    n.int("key-most"),
		CancelsWork:      n.bool("stops"),
	}
}

func (d *decoder) readTraffic(traffic *node, scenario *Scenario) {
	scenario.Rate = traffic.number("rate")
	scenario.Spread = traffic.number("spread")
	scenario.Keys = traffic.int("keys")
	scenario.Clients = ClientModel{
		Popularity: traffic.number("popularity"),
		Retries:    traffic.int("again"),
		RetryWait:  traffic.number("wait"),
		Patience:   traffic.number("patience"),
	}
	sum := 0.0
	for _, element := range traffic.childrenNamed("query") {
		mix := ClassMix{
			Class: element.attrs["class"],
			Share: element.number("share"),
			Work:  element.number("work"),
		}
		if !slices.Contains(scenario.Coordinator.Site.ClassNames, mix.Class) {
			d.addError(element, "no class is named %q", mix.Class)
		}
		scenario.Classes = append(scenario.Classes, mix)
		sum += mix.Share
	}
	if sum < 1-maxShareError || sum > 1+maxShareError {
		d.addError(traffic, "the shares add up to %v, want 1", sum)
	}
}
