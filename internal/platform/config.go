package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"snowquay/internal/deployment"
	frontend "snowquay/internal/frontend/platform"
	"snowquay/internal/wire/discovery"
)

// configVariable is the environment variable with the path of the configuration file.
const configVariable = "PROXY_CONFIG"

var errLimits = errors.New("limits: memory_mb and sockets must be greater than 0")

// configFile is the JSON object in the configuration file.
type configFile struct {
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"` // hexadecimal
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
	Relay      struct {
		Address string `json:"address"`
	} `json:"hub"`
	Limits struct {
		MemoryMB       float64 `json:"memory_mb"`
		MaxDescriptors int     `json:"sockets"`
	} `json:"limits"`
}

// config is the parsed configuration file.
type config struct {
	listen   netip.AddrPort
	memoryMB float64
	program  frontend.Config
}

// readConfig reads and parses the configuration file. Its errors contain the path, and the key if a value is invalid.
func readConfig(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func parseConfig(text []byte) (*config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	listen, err := parseAddress("listen", file.Listen)
	if err != nil {
		return nil, err
	}
	discoveryAddress, err := parseAddress("discovery", file.Discovery)
	if err != nil {
		return nil, err
	}
	relay, err := parseAddress("hub.address", file.Relay.Address)
	if err != nil {
		return nil, err
	}
	if file.Limits.MemoryMB <= 0 || file.Limits.MaxDescriptors <= 0 {
		return nil, errLimits
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	settings, err := deployment.Read(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &config{
		listen:   listen,
		memoryMB: file.Limits.MemoryMB,
		program: frontend.Config{
			Discovery:      discoveryAddress,
			Relay:          relay,
			MaxDescriptors: file.Limits.MaxDescriptors,
			Seed:           seed,
			Deployment:     settings,
		},
	}
	if len(file.CachedList) > 0 { // a malformed list is not an error: the cached list may be outdated anyway, and discovery sends the current one
		c.program.CachedList, c.program.CachedListErr = discovery.Parse(file.CachedList)
	}
	return c, nil
}

func parseAddress(key, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("%s: invalid address and port %q", key, text)
	}
	return address, nil
}
