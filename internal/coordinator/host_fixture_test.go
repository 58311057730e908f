package coordinator_test

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"snowquay/internal/coordinator"
	"snowquay/internal/core/tenancy"
	"snowquay/internal/env"
	"snowquay/internal/env/simnet"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
	"snowquay/internal/wire/sasp"
)

// hostFixture is a host on a simulated network whose process can be killed and restarted.
type hostFixture struct {
	t       testing.TB
	config  *settings.Host
	store   coordinator.HostStore
	net     *simnet.Net
	machine *simnet.Host
	host    *coordinator.Host
}

// parseHostSettings parses the settings of a host and sets its parser of tenants' settings.
func parseHostSettings(t testing.TB, text string) *settings.Host {
	t.Helper()
	config, err := settings.ParseHost("host.xml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	config.ParseTenant = func(tenant tenancy.Tenant) (coordinator.TenantConfig, error) {
		return settings.ParseTenant(tenant.Name, tenant.Settings, config)
	}
	return config
}

func newHostFixture(t testing.TB, store coordinator.HostStore) *hostFixture {
	t.Helper()
	return startHostFixture(t, parseHostSettings(t, scenario.HostSettings), store)
}

func startHostFixture(t testing.TB, config *settings.Host, store coordinator.HostStore) *hostFixture {
	t.Helper()
	f := &hostFixture{t: t, config: config, store: store, net: simnet.New(1, 1000)}
	f.machine = f.net.Add(config.SASP.Addr(), 0, false)
	f.start()
	return f
}

func (f *hostFixture) start() {
	f.t.Helper()
	host, err := coordinator.NewHost(f.net.Now(), f.config.HostConfig, f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	f.host = host
	f.machine.Start(host)
}

func (f *hostFixture) run(seconds float64) { f.net.Run(f.net.Now() + seconds) }

// change creates, changes or removes a tenant; text is nil for a removal. A rejection is returned as an error.
func (f *hostFixture) change(kind tenancy.CommandKind, name tenancy.Name, text []byte, id uint64) (tenancy.Outcome, error) {
	f.t.Helper()
	command := tenancy.Command{Kind: kind, Name: name, Settings: text, ID: id, Time: f.net.Now()}
	if text != nil {
		config, err := settings.ParseTenant(name, text, f.config)
		if err != nil {
			f.t.Fatal(err)
		}
		command.Weight = config.Weight
		command.Requirements = config.Requirements
	}
	var outcome tenancy.Outcome
	var rejection error
	f.host.ChangeTenant(f.net.Now(), command, func(o tenancy.Outcome, err error) {
		outcome = o
		rejection = errors.Join(err, o.Err())
	})
	return outcome, rejection
}

// create creates a tenant and fails the test if that is rejected.
func (f *hostFixture) create(name tenancy.Name, text []byte, id uint64) {
	f.t.Helper()
	_, err := f.change(tenancy.Create, name, text, id)
	if err != nil {
		f.t.Fatal(err)
	}
}

// connect connects a proxy or a server, from an address that a tenant's settings allow, and sends messages.
func (f *hostFixture) connect(tenant int, messages ...*sasp.Message) *saspClient {
	client := &saspClient{to: f.config.SASP, messages: messages}
	address := netip.AddrFrom4([4]byte{127, 16, byte(tenant*4 + 1), byte(200 + len(messages))})
	f.net.Add(address, 0, true).Start(client)
	return client
}

// connectProxy connects and registers the first proxy of a tenant.
func (f *hostFixture) connectProxy(tenant int) *saspClient {
	uid := string(tenantName(tenant)) + "/relay-0"
	return f.connect(tenant, setBalancer(uid), register(uid))
}

func tenantName(number int) tenancy.Name { return tenancy.Name(fmt.Sprintf("t%03d", number)) }

// tenantSettings returns the settings of count tenants. All their servers are in the default table.
func tenantSettings(count int) [][]byte {
	hosted := scenario.DefaultHostedScenario()
	var all [][]byte
	for number := range count {
		text := strings.ReplaceAll(string(hosted.TenantSettings(number)), `pod="`, `standing="true" pod="`)
		all = append(all, []byte(text))
	}
	return all
}

// saspClient sends messages and records the codes and rows that it receives.
type saspClient struct {
	to       netip.AddrPort
	messages []*sasp.Message
	codes    []sasp.Code
	rows     []sasp.Row
	closed   int // closed connections
	io       env.IO
	buffer   []byte
}

func (c *saspClient) Start(_ float64, io env.IO) {
	c.io = io
	io.Dial(c.to)
}

func (c *saspClient) Connected(_ float64, conn env.Conn, ok bool) {
	if !ok {
		return
	}
	for _, message := range c.messages {
		c.io.Send(conn, sasp.Append(nil, message))
	}
}

func (c *saspClient) Receive(_ float64, _ env.Conn, data []byte) {
	c.buffer = append(c.buffer, data...)
	for {
		size, err := sasp.Frame(c.buffer, sasp.MaxMessageBytes)
		if size == 0 || err != nil {
			return
		}
		var message sasp.Message
		err = sasp.Decode(c.buffer[:size], &message)
		if err == nil && message.Kind != sasp.SendWeights {
			c.codes = append(c.codes, message.Code)
		} else {
			c.rows = append(c.rows, message.Rows...)
		}
		c.buffer = c.buffer[size:]
	}
}

func (c *saspClient) Closed(float64, env.Conn)                     { c.closed++ }
func (c *saspClient) Opened(float64, env.Conn, netip.Addr, uint16) {}
func (c *saspClient) Delivered(float64, env.Conn, uint64)          {}
func (c *saspClient) Datagram(float64, []byte)                     {}
func (c *saspClient) TimerFired(float64, int)                      {}

func setBalancer(uid string) *sasp.Message {
	return &sasp.Message{Kind: sasp.SetBalancer, UID: []byte(uid), Flags: sasp.Push | sasp.Trust}
}

func register(uid string) *sasp.Message {
	return &sasp.Message{Kind: sasp.Registration, LB: 1, Groups: []sasp.Group{{UID: []byte(uid), Name: []byte("search")}}}
}
