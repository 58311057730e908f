package settings

import (
	"regexp"
	"strings"

	"snowquay/internal/core/authz"
	"snowquay/internal/core/spool"
	"snowquay/internal/feed/graphite"
)

var roles = map[string]authz.Role{
	"viewer": authz.RoleViewer,
	"staff":  authz.RoleStaff,
	"host":   authz.RoleHost,
}

// readCallers reads the callers of the administration API.
func (d *decoder) readCallers(root *node) []authz.Credential {
	var callers []authz.Credential
	for _, n := range root.all("caller") {
		caller := authz.Credential{
			Principal: authz.Principal{Name: n.attrs["name"], Role: roles[n.attrs["role"]]},
			Secret:    n.attrs["key"],
		}
		if len(caller.Secret) < minKeyBytes {
			d.fail(n, "key: %d bytes, %d at least", len(caller.Secret), minKeyBytes)
		}
		for _, other := range callers {
			if strings.EqualFold(other.Name, caller.Name) || other.Secret == caller.Secret {
				d.fail(n, "there are two callers named %q, or with one key", caller.Name)
			}
		}
		callers = append(callers, caller)
	}
	return callers
}

var graphitePrefix = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// readGraphite reads where metrics are sent; nil: nowhere.
func (d *decoder) readGraphite(element *node) *graphite.Config {
	if element == nil {
		return nil
	}
	config := &graphite.Config{
		Address:   d.endpoint(element, "address"),
		Prefix:    element.attrs["prefix"],
		Interval:  element.number("every"),
		MaxSeries: graphite.DefaultMaxSeries,
		Spool:     spool.DefaultConfig,
	}
	if !graphitePrefix.MatchString(config.Prefix) {
		d.fail(element, "prefix %q: parts of letters, digits, _ and -, with dots between them", config.Prefix)
	}
	element.overrideInt("series", &config.MaxSeries)
	element.overrideInt("values", &config.Spool.MaxValues)
	element.overrideNumber("per-second", &config.Spool.MaxRate)
	if element.attrs["overlap"] != "" {
		config.Spool.Overlap = element.number("overlap")
	}
	return config
}
