package service

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"snowquay/internal/core/fairshare"
	"snowquay/internal/core/tenancy"
)

// tenantLogLimits are the limits by which the tenants of a host share its log. The unit is a line.
var tenantLogLimits = fairshare.Config{
	Rate:          200,
	Burst:         2000,
	BucketSeconds: 10,
	Reserve:       0,
	MaxTenants:    1 << 16,
	MaxYield:      0.1,
}

// suppressedReportInterval is the minimum time in seconds between two reports of the number of suppressed lines of a
// tenant.
const suppressedReportInterval = 10.0

// tenantLoggers limits the rate of each tenant's log lines, so that a tenant whose proxies are rejected again and
// again can't crowd out the others. It counts the suppressed lines. It is safe for concurrent use.
type tenantLoggers struct {
	base       *slog.Logger
	mu         sync.Mutex // protects the fields below
	shares     *fairshare.Allocator
	suppressed map[tenancy.Name]int
	reportedAt map[tenancy.Name]float64
	loggers    map[tenancy.Name]*slog.Logger
}

func newTenantLoggers(base *slog.Logger) *tenantLoggers {
	return &tenantLoggers{
		base:       base,
		shares:     fairshare.New(unixSeconds(time.Now()), tenantLogLimits),
		suppressed: map[tenancy.Name]int{},
		reportedAt: map[tenancy.Name]float64{},
		loggers:    map[tenancy.Name]*slog.Logger{},
	}
}

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / 1e9 }

// logger returns the logger of a tenant. For the empty name it returns the logger of the host, which has no limit.
func (l *tenantLoggers) logger(name tenancy.Name) *slog.Logger {
	if name == "" {
		return l.base
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	logger := l.loggers[name]
	if logger == nil {
		tenant := slog.String("tenant", string(name))
		logger = slog.New(&limitedHandler{
			Handler: l.base.Handler().WithAttrs([]slog.Attr{tenant}),
			loggers: l,
			tenant:  name,
		})
		l.loggers[name] = logger
	}
	return logger
}

// remove deletes the state of a tenant that has been removed.
func (l *tenantLoggers) remove(name tenancy.Name) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.loggers, name)
	delete(l.suppressed, name)
	delete(l.reportedAt, name)
	l.shares.Remove(fairshare.Tenant(name))
}

// allow reports whether a line of a tenant is within its share, and the number of suppressed lines that the line has
// to report.
func (l *tenantLoggers) allow(now float64, name tenancy.Name) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.shares.Set(now, fairshare.Tenant(name), "", 1)
	if err != nil {
		return false, 0
	}
	_, ok, err = l.shares.Take(now, fairshare.Tenant(name), 1, false)
	if !ok || err != nil {
		l.suppressed[name]++
		return false, 0
	}
	if now-l.reportedAt[name] >= suppressedReportInterval && l.suppressed[name] > 0 {
		suppressed = l.suppressed[name]
		l.suppressed[name] = 0
		l.reportedAt[name] = now
	}
	return true, suppressed
}

// limitedHandler is the handler of a tenant's logger. It drops lines that exceed the tenant's share.
type limitedHandler struct {
	slog.Handler
	loggers *tenantLoggers
	tenant  tenancy.Name
}

// Handle implements slog.Handler.
func (h *limitedHandler) Handle(ctx context.Context, record slog.Record) error {
	ok, suppressed := h.loggers.allow(unixSeconds(record.Time), h.tenant)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		record.AddAttrs(slog.Int("suppressed_lines", suppressed))
	}
	return h.Handler.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithAttrs(attrs), loggers: h.loggers, tenant: h.tenant}
}

// WithGroup implements slog.Handler.
func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{Handler: h.Handler.WithGroup(name), loggers: h.loggers, tenant: h.tenant}
}
