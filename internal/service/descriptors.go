package service

const (
	maxHTTPConnections = 384       // connections of one HTTP server; far more than its scrapers and administrators open
	minHTTPConnections = 8         // the same, where descriptors are scarce
	httpShare          = 1.0 / 8.0 // part of the process's descriptors that the connections of one HTTP server may take

	// reservedDescriptors is the number of descriptors for connections that are being accepted or registered, outgoing ones of a
	// coordinator, files and the runtime.
	reservedDescriptors = 96
)

// httpConnections returns the limit on the connections of one HTTP server in a process with the given number of descriptors.
func httpConnections(descriptors int) int {
	return min(max(int(httpShare*float64(descriptors)), minHTTPConnections), maxHTTPConnections)
}

// connectionLimit returns the limit on the connections of a program in a process with the given numbers of descriptors and of HTTP
// servers beside it.
func connectionLimit(descriptors, httpServers int) int {
	return max(descriptors-httpServers*httpConnections(descriptors)-reservedDescriptors, 1)
}
