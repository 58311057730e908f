// Package bytebudget bounds the memory that a program uses to buffer data for all of its connections together. It does no I/O and
// reads no clock.
package bytebudget

import (
	"cmp"
	"iter"
	"slices"
)

const (
	// checkFraction is the part of the limit that may be added between two checks, and by which the limit may be exceeded.
	checkFraction = 1.0 / 8
	// targetFraction is the part of the limit that remains in use after some connections have been closed, so that not
	// every further byte causes another check.
	targetFraction = 3.0 / 4
)

// Budget is the limit on the buffered bytes of all connections of a program. It only counts how much has been added since the
// last check, so that the program needs no exact account. Create one with New.
type Budget struct {
	limit int
	added int // bytes added since the last check
}

// New returns a budget with a limit in bytes.
func New(limit int) Budget { return Budget{limit: limit} }

// Add counts added bytes and reports whether a check is due: the caller then has to call Excess.
func (b *Budget) Add(bytes int) (due bool) {
	b.added += bytes
	return float64(b.added) > checkFraction*float64(b.limit)
}

// Excess returns the connections that have to be closed, the ones with the most bytes first, so that the others are within the
// limit. sizes are all connections with the bytes that they take at present.
func Excess[Conn cmp.Ordered](b *Budget, sizes iter.Seq2[Conn, int]) []Conn {
	b.added = 0
	type usage struct {
		conn  Conn
		bytes int
	}
	var usages []usage
	total := 0
	for conn, bytes := range sizes {
		total += bytes
		if bytes > 0 {
			usages = append(usages, usage{conn: conn, bytes: bytes})
		}
	}
	if total <= b.limit {
		return nil
	}
	slices.SortFunc(usages, func(left, right usage) int {
		return cmp.Or(cmp.Compare(right.bytes, left.bytes), cmp.Compare(left.conn, right.conn))
	})
	var closed []Conn
	for _, largest := range usages {
		if float64(total) <= targetFraction*float64(b.limit) {
			break
		}
		closed = append(closed, largest.conn)
		total -= largest.bytes
	}
	return closed
}
