package platform

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const settings = `{"balancers":1,"zones":["a"],"host-types":["m"],"family-info":{"data-plane-size":2,"egress-per-s":1600,"pending-max":1600,
"per-message":3,"period":0.5},"grades":[{"name":"lookup","aim":1.5,"deadline":5,"effect":"free","points":3}],"guarantees":{"cold":18},"report":{}}`

func writeConfig(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestConfigErrorsNameFileAndKey(t *testing.T) {
	const addresses = `"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"}`
	const limits = `"limits":{"memory_mb":64,"sockets":256}`
	for text, want := range map[string]string{
		"":                    "unexpected end",
		"[]":                  "cannot unmarshal",
		"{}":                  "invalid address and port",
		`{` + addresses + `}`: "limits",
		`{"listen":"x","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"}}`: "listen",
		`{` + addresses + `,` + limits + `}`:                                       "seed",
		`{` + addresses + `,` + limits + `,"seed":"1","settings":{}}`:              "grades",
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, path, text)
		if _, err := readConfig(path); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), path) {
			t.Errorf("%.60q: error %v, want one that contains %q and the path", text, err, want)
		}
	}
}

// A malformed cached list is not an error, because discovery sends the current list.
func TestUnreadableCachedListIsNotUsed(t *testing.T) {
	for _, cached := range []string{`null`, `{}`, `7`, `{"version":1,"servers":{}}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeConfig(t, path, fmt.Sprintf(`{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","hub":{"address":"127.0.0.1:1"},"seed":"1",
"limits":{"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`, cached, settings))
		c, err := readConfig(path)
		if err != nil {
			t.Fatalf("%s: %v", cached, err)
		}
		if c.program.CachedList != nil || c.program.CachedListErr == nil {
			t.Errorf("%s: cached list %+v, error %v, want only an error", cached, c.program.CachedList, c.program.CachedListErr)
		}
	}
}
