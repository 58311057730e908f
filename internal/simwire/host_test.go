package simwire

import (
	"encoding/json"
	"strings"
	"testing"
)

// provisionLine is a batch that starts instance 3 with two servers.
const provisionLine = `{"clock":100,"in":[{"type":"Provision","coordinator-id":3,"seed":5,"boot-info":{"balancers":1,` +
	`"discovery":"pushed","family-info":{"data-plane-size":2,"egress-per-s":1000,"pending-max":900,"per-message":3,` +
	`"period":1,"level-kind":"fraction","default-retry":1},"grades":[{"aim":1,"deadline":3,"effect":"free","points":2,` +
	`"new-key":7}],"guarantees":{"cold":15,"cold-from":0.2},"a-new-key":[]}},{"type":"Announce","coordinator-id":3,` +
	`"scope":"Persisted","entries":[{"backend":"10.0.0.1:80","size":3,"phase":"in_service"},` +
	`{"backend":"10.0.0.2:80","size":1,"phase":"in_service"}]}]}` + "\n"

// run passes lines to Host. It returns the reply lines and the text of the error log.
func run(t *testing.T, lines string) (replies []string, errorLog string, err error) {
	t.Helper()
	var out, log strings.Builder
	err = Host(strings.NewReader(lines), &out, &log)
	for _, reply := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		if reply != "" && !json.Valid([]byte(reply)) {
			t.Errorf("reply is not valid JSON: %s", reply)
		}
		replies = append(replies, reply)
	}
	return replies, log.String(), err
}

func TestOneReplyLinePerBatch(t *testing.T) {
	replies, errorLog, err := run(t, `{"clock":99,"in":[]}`+"\n"+provisionLine+
		`{"clock":101,"in":[{"type":"Enrolled","coordinator-id":3,"px":41,"campus":0,"size":6.5,"flag":true}]}`+"\n")
	if err != nil || errorLog != "" || len(replies) != 3 || replies[0] != `{"actions":[]}` {
		t.Fatalf("replies %q, error log %q, error %v", replies, errorLog, err)
	}
	if !strings.Contains(replies[2], `{"type":"HandTable","coordinator-id":3,"px":41,"sheet":1,"for-classes":1}`) {
		t.Errorf("reply to the joined proxy %s, want a HandTable action for proxy 41", replies[2])
	}
}

func TestInvalidLineReturnsError(t *testing.T) {
	for name, test := range map[string]struct{ lines, want string }{
		"no JSON":           {"nonsense\n", "line 1: invalid batch"},
		"no clock":          {`{"in":[]}` + "\n", "clock is missing"},
		"truncated line":    {provisionLine + `{"clock":101,"in`, "line 2: invalid batch"},
		"unknown instance":  {`{"clock":1,"in":[{"type":"Fired","coordinator-id":9,"nonce":1}]}` + "\n", "which is not running"},
		"no instance":       {`{"clock":1,"in":[{"type":"Fired"}]}` + "\n", "has no coordinator-id"},
		"no settings":       {`{"clock":1,"in":[{"type":"Provision","coordinator-id":1}]}` + "\n", "has no boot-info"},
		"destroyed unknown": {`{"clock":1,"in":[{"type":"Destroy","coordinator-id":1}]}` + "\n", "which is not running"},
		"wrong type": {provisionLine + `{"clock":101,"in":[{"type":"Detached","coordinator-id":3,"px":"x"}]}`,
			"invalid event"},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := run(t, test.lines)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%.60q: error %v, want %q", test.lines, err, test.want)
			}
		})
	}
}

func TestInvalidEventsAreReportedAndSkipped(t *testing.T) {
	replies, errorLog, err := run(t, provisionLine+`{"clock":101,"in":[{"type":"Riddle","coordinator-id":3},{"type":"Announce",`+
		`"coordinator-id":3,"scope":"Odd"},{"type":"OfferedLoad","coordinator-id":3,"tries-n":-4}]}`+"\n")
	if err != nil || len(replies) != 2 || strings.Count(errorLog, "line 2: skipped") != 3 {
		t.Errorf("%d replies, error log %q, error %v", len(replies), errorLog, err)
	}
}

// Guards against a number of the wire that ends the program or spoils an average for good (review case 6).
func TestImplausibleEventsAreSkipped(t *testing.T) {
	fields := map[string][]string{
		"OfferedLoad":   {`"px":1,"tries-n":1,"period-len":2.2e-308`, `"px":1,"tries-n":1,"period-len":0`, `"px":1,"class":-1,"tries-n":1,"period-len":1`, `"px":1,"tries-n":1e300,"period-len":1`},
		"TrafficReport": {`"backend":"10.0.0.1:80","tries-n":1e300,"period-len":1`, `"backend":"10.0.0.1:80","tries-n":1,"elapsed":1e9,"period-len":1`, `"backend":"10.0.0.1:80","tries-n":1,"period-len":1e300`},
		"TookEffect":    {`"px":1,"number":1,"elapsed":1e300`},
		"Enrolled":      {`"px":-1,"campus":0,"size":1`},
	}
	for kind, cases := range fields {
		for _, text := range cases {
			line := `{"clock":101,"in":[{"type":"` + kind + `","coordinator-id":3,` + text + `}]}` + "\n"
			replies, errorLog, err := run(t, provisionLine+line)
			if err != nil || len(replies) != 2 || strings.Count(errorLog, "line 2: skipped") != 1 {
				t.Errorf("%s %s: %d replies, error log %q, error %v", kind, text, len(replies), errorLog, err)
			}
		}
	}
}

func TestDestroyedInstanceSendsNothingUntilRestart(t *testing.T) {
	destroyLine := `{"clock":102,"in":[{"type":"Fired","coordinator-id":3,"nonce":0},{"type":"Destroy","coordinator-id":3}]}` + "\n"
	replies, _, err := run(t, provisionLine+destroyLine+provisionLine)
	if err != nil || replies[1] != `{"actions":[]}` || replies[2] != replies[0] {
		t.Errorf("replies %q, error %v", replies, err)
	}
}
