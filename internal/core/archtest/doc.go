// Package archtest holds tests of the project's architecture: the packages that decide do no I/O, read no clock, start
// no goroutine and draw no random numbers of their own, so that a seed and a list of events determine a run.
package archtest
