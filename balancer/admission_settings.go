package balancer

import (
	"math"

	"snowquay/internal/core/waterfill"
)

const (
	// admissionInterval is the time in seconds between two messages with admission settings of one table,
	// for the last one to show its effect.
	admissionInterval = 1.0
	// minAdmissionRate keeps a class from vanishing: otherwise its demand could not be seen to fall.
	minAdmissionRate = 1e-3
	// unlimitedAdmission admits everything, as a fraction and as requests a second at a proxy.
	unlimitedAdmission = 1e6
)

// admissionRate is what proxies are to admit of a class, in the form that they understand.
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

// sendAdmissions sends a table's admission settings that have changed.
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
			wanted.retry = RetryNever // what one server rejects would go to the others, warming ones above all
		}
		moved := math.Abs(wanted.rate-current.rate) > minRelativeChange*current.rate
		if !moved && wanted.retry == current.retry {
			continue
		}
		table.admissions[class] = wanted
		table.admissionsSentAt = now
		sink.SetAdmission(table.id, 1<<class, wanted.rate, wanted.retry)
		b.chargeEntry(now, group)
	}
}

// usualRetry is the retry policy of a class while the fleet is not overloaded. A retry that the
// balancer orders must never take effect twice.
func (b *Balancer) usualRetry(class Class) RetryPolicy {
	retry := b.dataPlane.DefaultRetry
	if b.classes[class].Idempotency != Idempotent {
		retry = min(retry, RetryIfNotExecuted)
	}
	return retry
}
