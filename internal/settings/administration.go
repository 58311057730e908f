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

// readCallers reads the callers of the administration API and their keys.
func (d *decoder) readCallers(root *node) []authz.Credential {
	var callers []authz.Credential
	for _, n := range root.childrenNamed("caller") {
		caller := authz.Credential{
			Principal: authz.Principal{Name: n.attrs["name"], Role: roles[n.attrs["role"]]},
			Secret:    n.attrs["key"],
		}
		if len(caller.Secret) < minKeyBytes {
			d.addError(n, "key: %d bytes, must be at least %d", len(caller.Secret), minKeyBytes)
		}
		for _, other := range callers {
			if strings.EqualFold(other.Name, caller.Name) || other.Secret == caller.Secret {
				d.addError(n, "caller %q: another caller has the same name or key", caller.Name)
			}
		}
		callers = append(callers, caller)
	}
	return callers
}

var graphitePrefixPattern = regexp.MustCompile(`^[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*$`)

// readGraphite reads the configuration for sending metrics. It returns nil if no metrics are sent.
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
	if !graphitePrefixPattern.MatchString(config.Prefix) {
		d.addError(element, "prefix %q: must consist of letters, digits, _ and -, in parts separated by single dots",
			config.Prefix)
	}
	element.overrideInt("series", &config.MaxSeries)
	element.overrideInt("values", &config.Spool.MaxValues)
	element.overrideNumber("per-second", &config.Spool.MaxRate)
	if element.attrs["overlap"] != "" {
		config.Spool.Overlap = element.number("overlap")
	}
	return config
}
