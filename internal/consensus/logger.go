package consensus

import "fmt"

// silentLogger discards the raft library's log output, which would go to standard error. Fatal and Panic still panic; Node recovers from
// these panics.
type silentLogger struct{}

func (silentLogger) Debug(...any)            {}
func (silentLogger) Debugf(string, ...any)   {}
func (silentLogger) Error(...any)            {}
func (silentLogger) Errorf(string, ...any)   {}
func (silentLogger) Info(...any)             {}
func (silentLogger) Infof(string, ...any)    {}
func (silentLogger) Warning(...any)          {}
func (silentLogger) Warningf(string, ...any) {}

func (silentLogger) Fatal(values ...any) { panic(fmt.Sprint(values...)) }
func (silentLogger) Panic(values ...any) { panic(fmt.Sprint(values...)) }

func (silentLogger) Fatalf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
func (silentLogger) Panicf(format string, values ...any) { panic(fmt.Sprintf(format, values...)) }
