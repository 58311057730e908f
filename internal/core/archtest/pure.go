// Package archtest holds a test: what decides does no I/O, reads no clock, starts no goroutine and draws no chance of its
// own, so that a day is a seed.
package archtest
