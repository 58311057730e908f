package experiment

import (
	"math"
	"net/netip"
	"reflect"
	"testing"

	"snowquay/internal/env"
	"snowquay/internal/scenario"
	"snowquay/internal/settings"
)

const calmScenario = `<experiment name="s" seeds="1"><fleet name="f" servers="8" relays="6" load="0.5"/><case name="c" seconds="14">
	<trouble kind="slow" at="6" for="4" server="2" factor="3"/></case><arm name="a"/></experiment>`

// Runs the same calm scenario with the coordinator called directly and by the event loop over sockets, in lockstep
// with virtual time: the results must be identical. Compared with the simulated network, service, median latency and
// the number of entries must agree within bounds.
func TestSocketsAgreeInLockstep(t *testing.T) {
	cell := Cells(parseExperiment(t, calmScenario))[0]
	virtual := runWrapped(t, cell, nil)
	direct := runWrapped(t, cell, func(program env.Program, _ *settings.Coordinator) env.Program {
		return &directProgram{Program: program}
	})
	sockets := runWrapped(t, cell, func(program env.Program, config *settings.Coordinator) env.Program {
		return newSocketProgram(t, program, config.ListenAddresses(), config.Measurements)
	})
	if !reflect.DeepEqual(direct, sockets) {
		t.Errorf("results differ; called directly:\n%+v\nover sockets:\n%+v", direct, sockets)
	}
	if math.Abs(virtual.Service-sockets.Service) > 0.03 || math.Abs(virtual.P50-sockets.P50) > 0.15*virtual.P50+0.01 {
		t.Errorf("virtual time and sockets: service %.3f and %.3f, median %.3f and %.3f s", virtual.Service, sockets.Service, virtual.P50, sockets.P50)
	}
	if ratio := float64(sockets.Entries) / float64(virtual.Entries); ratio < 0.6 || ratio > 1.6 {
		t.Errorf("%d entries in virtual time, %d over sockets", virtual.Entries, sockets.Entries)
	}
}

// runWrapped runs a cell in virtual time. If wrap is not nil, the program that it returns for the coordinator runs in
// the coordinator's place.
func runWrapped(t *testing.T, cell Cell, wrap func(env.Program, *settings.Coordinator) env.Program) *scenario.Result {
	t.Helper()
	built, err := cell.Scenario()
	if err != nil {
		t.Fatal(err)
	}
	config := built.Coordinator
	options := cell.Options()
	if wrap != nil {
		ports := freePorts(t, 3)
		config.SASP = netip.AddrPortFrom(config.SASP.Addr(), ports[0])
		config.HTTP = netip.AddrPortFrom(config.HTTP.Addr(), ports[1])
		config.Measurements = netip.AddrPortFrom(config.Measurements.Addr(), ports[2])
		options.WrapCoordinator = func(program env.Program) env.Program { return wrap(program, config) }
	}
	result, err := scenario.Run(built, options)
	if err != nil {
		t.Fatal(err)
	}
	if !result.Kept() {
		t.Errorf("rules broken: %+v", result.Verdicts)
	}
	return result
}
