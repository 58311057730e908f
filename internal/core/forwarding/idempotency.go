package forwarding

import (
	"snowquay/balancer"
	"snowquay/internal/core/retry"
)

// maxIdempotencyKeys is the number of idempotency keys that a proxy stores. Beyond it the oldest key is evicted, after which a retry by
// the client may be sent to any server.
const maxIdempotencyKeys = 65536

// keyRecord holds the state of an idempotency key. Clock times are in seconds.
type keyRecord struct {
	fingerprint   uint64         // hash of the request that the key belongs to
	expiresAt     float64        // clock time
	maybeExecuted bool           // whether an attempt with this key may have been executed
	location      retry.Location // server of the first such attempt
	sentAt        float64        // clock time at which that attempt was sent
}

// lookUpKey returns the record of the idempotency key of a request, and creates it for a new key. It returns nil for a request that needs
// no record, and ErrKeyReused if the key belongs to another request.
func (p *Proxy) lookUpKey(now float64, received Request, class balancer.RequestClass) (*keyRecord, error) {
	key := received.IdempotencyKey
	if key == "" || class.Idempotency == balancer.Idempotent {
		return nil, nil
	}
	record := p.idempotencyKeys[key]
	if record != nil && now < record.expiresAt {
		if record.fingerprint != received.Fingerprint {
			return nil, ErrKeyReused
		}
		return record, nil
	}
	if record == nil {
		p.keyOrder = append(p.keyOrder, key)
	}
	for p.mustEvictOldestKey(now, key) {
		delete(p.idempotencyKeys, p.keyOrder[0])
		p.keyOrder = p.keyOrder[1:]
	}
	record = &keyRecord{fingerprint: received.Fingerprint, expiresAt: now + class.ClientTimeout + class.DedupWindow}
	p.idempotencyKeys[key] = record
	return record, nil
}

// mustEvictOldestKey reports whether the oldest key must be evicted: it has expired and is not the current key, or too many keys are
// stored.
func (p *Proxy) mustEvictOldestKey(now float64, current string) bool {
	if len(p.keyOrder) == 0 {
		return false
	}
	if len(p.keyOrder) > maxIdempotencyKeys {
		return true
	}
	oldest := p.keyOrder[0]
	record := p.idempotencyKeys[oldest]
	return record != nil && now >= record.expiresAt && oldest != current
}

// recordExecution records under the idempotency key of a request at which server it may have been executed. A retry by the client is
// then sent to a server that recognizes it.
func (p *Proxy) recordExecution(req *request, a *attempt) {
	if req.received.IdempotencyKey == "" || req.state.Class.Idempotency == balancer.Idempotent {
		return
	}
	record := p.idempotencyKeys[req.received.IdempotencyKey]
	if record == nil || record.maybeExecuted {
		return
	}
	record.maybeExecuted = true
	record.location = p.location(a.server)
	record.sentAt = a.sentAt
}
