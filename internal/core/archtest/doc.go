// Package archtest tests the project's architecture. Packages that make decisions must do no I/O, read no clock,
// start no goroutine and use no random source of their own, so that a seed and a list of events determine a run.
package archtest
