package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"snowquay/balancer"
	"snowquay/internal/core/controlplane"
)

// example returns the text of the example settings of a coordinator.
func example(t testing.TB) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/example.xml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestParseExampleCoordinator(t *testing.T) {
	c, err := ParseCoordinator("example.xml", []byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Site.Servers) != 4 || len(c.Site.Proxies) != 2 || c.Site.Guarantees.DrainDeadline != 3 || !c.Policy.AllowUnlisted ||
		c.Site.Classes[1].Idempotency != balancer.Keyed || c.Site.Servers[2].Zone != 1 || !c.Metrics.IsValid() {
		t.Errorf("unexpected coordinator settings %+v", c)
	}
	if c.Site.RetryPolicies[0] != balancer.RetryOnce || c.Site.RetryPolicies[1] != balancer.RetryIfNotExecuted {
		t.Errorf("retry policies are %v, but requests of a keyed class must not be retried after a failure", c.Site.RetryPolicies)
	}
	c, err = ParseCoordinator("example.xml", []byte(example(t)), controlplane.GuardRetries)
	if err != nil || c.Site.RetryPolicies[1] != balancer.RetryOnce {
		t.Errorf("without the guard, retry policies are %v, error %v", c.Site.RetryPolicies, err)
	}
	if text := c.String(); !strings.Contains(text, "4 servers listed") || !strings.Contains(text, "introduce") {
		t.Errorf("summary is %s", text)
	}
}

// Each case makes one change to the example that is an error.
func TestErrorsNameLineAndElement(t *testing.T) {
	good := example(t)
	line := func(part string) int {
		return 1 + strings.Count(good[:strings.LastIndex(good[:strings.Index(good, part)+1], "<")], "\n")
	}
	for _, c := range []struct{ from, to, element, problem string }{
		{`goal-time="1.5"`, `goal-time="fast"`, "class", `goal-time="fast": not a number`},
		{`goal-time="1.5"`, `goal-time="0"`, "class", "must be greater than 0"},
		{`goal-time="1.5"`, `goal-time="9"`, "class", "longer than client-timeout"},
		{`goal-time="1.5"`, ``, "class", "attribute goal-time is missing"},
		{`effect="free"`, `effect="maybe"`, "class", "must be one of free, guarded, single-shot"},
		{`window="5"`, `window="0"`, "class", "needs a window"},
		{`name="introduce"`, `name="search"`, "class", "two classes"},
		{`<zone name="south"/>`, `<zone name="north"/>`, "zone", "two zones"},
		{`<zone name="south"/>`, `<zona name="south"/>`, "zona", "unexpected element"},
		{`sasp="127.0.0.1:3860"`, `sasp="localhost:3860"`, "listen", "does not match the required pattern"},
		{`sasp="127.0.0.1:3860"`, `sasp="127.0.0.1:99999"`, "listen", "sasp"},
		{`address="127.0.1.2:8080"`, `address="127.0.1.1:8080"`, "server", "already listed in line"},
		{`pod="1"/>`, `pod="1" zone="east"/>`, "server", "duplicate attribute zone"},
		{`address="127.0.1.3:8080" zone="south"`, `address="127.0.1.3:8080" zone="east"`, "server", `no zone is named "east"`},
		{`uid="relay-2"`, `uid="relay-1"`, "relay", "already listed"},
		{`drain-within="3"`, `drain-within="0.2"`, "rules", "drain-within cannot be met"},
		{`longest-way="0.5"`, `longest-way="0.01"`, "channel", "shorter than mean-way"},
		{`most-messages="12"`, `most-messages="4"`, "channel", "at least 6"},
		{`<fleet `, `<fleet colour="blue" `, "fleet", "unknown attribute colour"},
		{`user="relays" `, ``, "reports", "must be set together"},
		{`<relays strangers="false">`, `<relays strangers="false">x`, "relays", "unexpected text"},
		{`<limits servers="100"/>`, `<limits servers="3"/>`, "limits", "lower than the 4 that are listed"},
		{`</relays>`, `</relay>`, unknownElement, "syntax"},
	} {
		if !strings.Contains(good, c.from) {
			t.Fatalf("the example does not contain %s", c.from)
		}
		_, err := ParseCoordinator("example.xml", []byte(strings.Replace(good, c.from, c.to, 1)))
		var settingsError *Error
		if !errors.As(err, &settingsError) || !strings.Contains(err.Error(), c.problem) {
			t.Errorf("%s: %v, want %q", c.to, err, c.problem)
			continue
		}
		if c.element != unknownElement && settingsError.Element != c.element {
			t.Errorf("%s: element is %s, want %s", c.to, settingsError.Element, c.element)
		}
		if want := line(c.from); settingsError.Line != want || settingsError.File != "example.xml" {
			t.Errorf("%s: position is %s:%d, want example.xml:%d", c.to, settingsError.File, settingsError.Line, want)
		}
	}
}

// Both errors of a file are reported, each with the file name.
func TestAllErrorsAreReported(t *testing.T) {
	text := strings.Replace(strings.Replace(example(t), `goal-time="1.5"`, `goal-time="x"`, 1), `weight="2"`, `weight="-1"`, 1)
	_, err := ParseCoordinator("f", []byte(text))
	if err == nil || strings.Count(err.Error(), "f:") != 2 {
		t.Errorf("%v, want two errors in file f", err)
	}
}

func TestTruncatedAndHostileFilesAreRejected(t *testing.T) {
	good := example(t)
	for i := 0; i < len(good)-2; i += 7 {
		if _, err := ParseCoordinator("f", []byte(good[:i])); err == nil {
			t.Fatalf("a file of the first %d bytes is accepted", i)
		}
	}
	deep := strings.Repeat("<a>", 100) + strings.Repeat("</a>", 100)
	for text, want := range map[string]string{deep: "nested more than", "": "no root element", "<day/>": "must be <coordinator>",
		"<!DOCTYPE x [<!ENTITY a \"b\">]><coordinator/>": "document type declarations", strings.Repeat(" ", maxFileBytes+1): "bytes"} {
		if _, err := ParseCoordinator("f", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30q: %v, want %q", text, err, want)
		}
	}
}

func TestParseScenario(t *testing.T) {
	_, after, found := strings.Cut(example(t), "<coordinator")
	if !found {
		t.Fatal("the example has no coordinator element")
	}
	good := fmt.Sprintf(`<day seconds="10">%s<servers cores="2" queue="4" slowest="1" fastest="1"/>
<queries rate="5" keys="9"><query class="search" share="1" work="0.1"/></queries>
<trouble kind="drain" at="2" server="1"/></day>`, "<coordinator"+after)
	if scenario, err := ParseScenario("d", []byte(good)); err != nil || len(scenario.Faults) != 1 || scenario.Faults[0].Server != 1 {
		t.Fatalf("unexpected scenario %+v, error %v", scenario, err)
	}
	for _, c := range []struct{ from, to, problem string }{
		{`server="1"`, `server="9"`, "there are 4"},
		{`at="2"`, `at="20"`, "after the scenario's end"},
		{`kind="drain" at="2" server="1"`, `kind="drain" at="2"`, "drain needs a server"},
		{`share="1"`, `share="0.5"`, "add up"},
		{`class="search"`, `class="x"`, "no class"},
		{`slowest="1"`, `slowest="2"`, "greater than fastest"},
	} {
		_, err := ParseScenario("d", []byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.problem) {
			t.Errorf("%s: %v, want %q", c.to, err, c.problem)
		}
	}
}

func TestParseGroup(t *testing.T) {
	const good = `<group number="2" key="sixteen bytes are enough" store="g.db"><peer number="1" address="127.0.0.1:7001"/>` +
		`<peer number="2" address="127.0.0.1:7002"/><peer number="5" address="127.0.0.1:7005"/></group>`
	with := func(group string) (*Coordinator, error) {
		return ParseCoordinator("x.xml", []byte(strings.Replace(example(t), "<zone ", group+"<zone ", 1)))
	}
	c, err := with(good)
	if err != nil {
		t.Fatal(err)
	}
	if d := c.Site.DataPlane; d.Coordinators != 3 || d.Self != 1 || len(c.Group.Members) != 3 || c.Group.Lease.Duration != 3 || c.GroupStore != "g.db" {
		t.Errorf("unexpected group settings %+v, data plane %+v", c.Group, d)
	}
	if text := c.String(); !strings.Contains(text, "member number 2 of a group of 3") || !strings.Contains(text, "3.6 s after a failure") {
		t.Error(text)
	}
	for _, x := range []struct{ from, to, problem string }{
		{`number="2" key`, `number="9" key`, "not among the peers"},
		{`number="5"`, `number="1"`, "two peers with number 1"},
		{`127.0.0.1:7005`, `127.0.0.1:7001`, "two peers at"},
		{`sixteen bytes are enough`, `short`, "must be at least 16"},
		{`store="g.db"`, `store="g.db" lease="1"`, "must be at least 2 s"},
		{`store="g.db"`, `store="g.db" drift="0.7"`, "must be below 0.5"},
		{`store="g.db"`, ``, "attribute store is missing"},
		{`number="5"`, `number="0"`, "number"},
	} {
		if _, err := with(strings.Replace(good, x.from, x.to, 1)); err == nil || !strings.Contains(err.Error(), x.problem) {
			t.Errorf("%s: got error %v", x.to, err)
		}
	}
}
