package balancer

import (
	"math"

	"snowquay/internal/core/waterfill"
)

const (
	// admissionInterval is the minimum time in seconds between two updates of the admission settings of a
	// table, so that the effect of an update is visible before the next one.
	admissionInterval = 1.0
	// minAdmissionRate is the lower bound on admission rates. If a class were rejected completely, its
	// recovery would never be detected.
	minAdmissionRate = 1e-3
	// unlimitedAdmission is an admission rate that admits all requests, whether it is interpreted as a
	// fraction or as requests per second.
	unlimitedAdmission = 1e6
)

// admissionRate returns the admission rate of a class in the unit of the admission mode.
func (b *Balancer) admissionRate(class Class) float64 {
	fraction := b.admitted[class].wanted
	if fraction >= 1 || b.dataPlane.Admission == AdmissionIgnored {
		return unlimitedAdmission
	}
	if b.dataPlane.Admission == AdmissionFraction {
		return max(fraction, minAdmissionRate)
	}
	rates := make([]float64, 0, len(b.proxies))
	for _, p := range b.proxies {
		rates = append(rates, p.demand[class])
	}
	total := fraction * offeredRate(b.proxies, nil, 1<<class)
	limit, needed := waterfill.Cap(rates, total)
	if !needed {
		return unlimitedAdmission
	}
	return max(limit, minAdmissionRate)
}

// sendAdmissions sends the admission settings of a table that have changed.
func (b *Balancer) sendAdmissions(now float64, group *proxyGroup, table *weightTable, classes ClassSet,
	sink CommandSink) {
	for _, class := range b.classesByPriority {
		if !classes.includes(class) {
			continue
		}
		wanted := admissionSetting{rate: b.admissionRate(class), retry: b.usualRetry(class)}
		current, sent := table.admissions[class]
		if !sent {
			current = admissionSetting{rate: unlimitedAdmission, retry: wanted.retry}
		}
		if b.overloaded {
			wanted.retry = RetryNever // retries would overload other servers, especially warming ones
		}
		rateChanged := math.Abs(wanted.rate-current.rate) > minRelativeChange*current.rate
		if !rateChanged && wanted.retry == current.retry {
			continue
		}
		table.admissions[class] = wanted
		table.admissionsSentAt = now
		sink.SetAdmission(table.id, 1<<class, wanted.rate, wanted.retry)
		b.chargeEntry(now, group)
	}
}

// usualRetry returns the retry policy of a class while the fleet is not overloaded. The balancer never
// allows a retry that could execute a request of a keyed or non-idempotent class twice.
func (b *Balancer) usualRetry(class Class) RetryPolicy {
	retry := b.dataPlane.DefaultRetry
	if b.classes[class].Idempotency != Idempotent {
		retry = min(retry, RetryIfNotExecuted)
	}
	return retry
}
