package settings

import (
	"os"
	"slices"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// ClassMix is the share of a request class in the traffic of a scenario.
type ClassMix struct {
	Class string
	Share float64 // of all requests
	Work  float64 // mean seconds on a core
}

// Scenario is a test run with emulated servers, proxies and clients, and with injected faults.
type Scenario struct {
	Coordinator        *Coordinator
	coordinator        *node // what Coordinator was read from
	Seconds            float64
	Seed               uint64
	Cores, Queue       int     // of each server
	Slowest, Fastest   float64 // range of the servers' speed
	Rate               float64 // requests per second
	Spread             float64 // of the traffic between proxies
	Keys               int
	Classes            []ClassMix
	Split, Loss        float64 // probabilities that a message is split, and that a packet is lost
	Duplication, Delay float64 // probabilities that a packet is duplicated, and that it is late
	Faults             []Fault
	Model              ServerModel
	Clients            ClientModel
}

// ServerModel is the behaviour of emulated servers besides their speed. A zero value disables a feature.
type ServerModel struct {
	ConnectionLimit                  int
	ConnectionCost                   float64 // seconds on a core that a new connection costs
	KeyCacheDuration, KeyCacheSaving float64 // seconds for which a key is cached, and the fraction of the work that this saves
	MaxCachedKeys                    int     // maximum number of cached keys
	CancelsWork                      bool    // work ends when its client has given up
}

// ClientModel is the behaviour of emulated clients.
type ClientModel struct {
	Popularity float64 // exponent of Zipf's law for keys
	Retries    int     // retries of a client
	RetryWait  float64 // seconds before a retry
	Patience   float64 // fraction of the client timeout after which a client gives up
}

// maxShareError is the tolerance for the sum of the shares, which should be 1.
const maxShareError = 0.001

// LoadScenario reads a scenario file. The given guards are disabled, for tests of them.
func LoadScenario(path string, without ...controlplane.Guard) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseScenario(path, text, without...)
}

// ParseScenario reads the text of a scenario file, like LoadScenario. The name is for error messages.
func ParseScenario(name string, text []byte, without ...controlplane.Guard) (*Scenario, error) {
	return readDocument(name, text, "day", func(root *node) (*Scenario, error) {
		return readScenario(root, without)
	})
}

func readScenario(root *node, without []controlplane.Guard) (*Scenario, error) {
	coordinator, err := readCoordinator(root.one("coordinator"), without)
	if err != nil {
		return nil, err
	}
	dec := newDecoder()
	for i, name := range coordinator.Site.Zones {
		dec.zones[name] = balancer.Zone(i)
	}
	scenario := &Scenario{
		Coordinator: coordinator,
		coordinator: root.one("coordinator"),
		Seconds:     root.number("seconds"),
		Seed:        uint64(root.int("seed")),
	}
	dec.readServerModel(root.one("servers"), scenario)
	dec.readTraffic(root.one("queries"), scenario)
	if network := root.one("net"); network != nil {
		scenario.Split = network.number("split")
		scenario.Loss = network.number("loss")
		scenario.Duplication = network.number("double")
		scenario.Delay = network.number("late")
	}
	for _, n := range root.all("trouble") {
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
		d.fail(n, "the slowest is faster than the fastest")
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
	for _, element := range traffic.all("query") {
		mix := ClassMix{
			Class: element.attrs["class"],
			Share: element.number("share"),
			Work:  element.number("work"),
		}
		if !slices.Contains(scenario.Coordinator.Site.ClassNames, mix.Class) {
			d.fail(element, "no class is named %q", mix.Class)
		}
		scenario.Classes = append(scenario.Classes, mix)
		sum += mix.Share
	}
	if sum < 1-maxShareError || sum > 1+maxShareError {
		d.fail(traffic, "the shares add up to %v", sum)
	}
}
