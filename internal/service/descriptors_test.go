package service

import "testing"

// Guards against limits that together exceed the descriptors of the process.
func TestConnectionsLeaveDescriptors(t *testing.T) {
	for descriptors := range 100_000 {
		for httpServers := range 3 {
			connections := connectionLimit(descriptors, httpServers)
			used := connections + httpServers*httpConnections(descriptors) + reservedDescriptors
			if connections < 1 || connections > 1 && used > descriptors {
				t.Fatalf("%d descriptors and %d HTTP servers: %d connections, %d descriptors in use", descriptors, httpServers, connections, used)
			}
		}
	}
}
