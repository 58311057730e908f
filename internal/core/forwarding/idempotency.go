package forwarding

import (
	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

const maxKeys = 65536 // idempotency keys that are remembered; the oldest is forgotten first, and a client's retry may then go anywhere

// keyRecord is what is known of an idempotency key.
type keyRecord struct {
	fingerprint   uint64
	expiresAt     float64
	maybeExecuted bool           // an attempt under it may have been executed
	location      retry.Location // of that attempt
	sentAt        float64        // of that attempt
}

// lookUpKey returns the record of a request's idempotency key, a new one for a new key; nil: the request needs none. The error is
// ErrKeyReused if the key belongs to another request.
func (p *Proxy) lookUpKey(now float64, received Request, class balancer.RequestClass) (*keyRecord, error) {
	key := received.IdempotencyKey
	if key == "" || class.Idempotency == balancer.Idempotent {
		return nil, nil
	}
	record := p.keys[key]
	if record != nil && now < record.expiresAt {
		if record.fingerprint != received.Fingerprint {
			return nil, ErrKeyReused
		}
		return record, nil
	}
	if record == nil {
		p.keyOrder = append(p.keyOrder, key)
	}
	for p.oldestKeyIsDue(now, key) {
		delete(p.keys, p.keyOrder[0])
		p.keyOrder = p.keyOrder[1:]
	}
	record = &keyRecord{fingerprint: received.Fingerprint, expiresAt: now + class.ClientTimeout + class.DedupWindow}
	p.keys[key] = record
	return record, nil
}

// oldestKeyIsDue reports whether the oldest key is to be forgotten: it has expired and is not the current one, or there are too many.
func (p *Proxy) oldestKeyIsDue(now float64, current string) bool {
	if len(p.keyOrder) == 0 {
		return false
	}
	if len(p.keyOrder) > maxKeys {
		return true
	}
	oldest := p.keyOrder[0]
	record := p.keys[oldest]
	return record != nil && now >= record.expiresAt && oldest != current
}

// rememberExecution records under a request's idempotency key where it may have been executed, for retries by its client.
func (p *Proxy) rememberExecution(req *request, a *attempt) {
	if req.received.IdempotencyKey == "" || req.state.Class.Idempotency == balancer.Idempotent {
		return
	}
	record := p.keys[req.received.IdempotencyKey]
	if record == nil || record.maybeExecuted {
		return
	}
	record.maybeExecuted = true
	record.location = p.location(a.server)
	record.sentAt = a.sentAt
}
