package balancer

// responder is what proxies meet at a server for its share of some requests a second.
type responder func(server Server, share, requests float64) UpstreamReport

// healthy answers everything in a quarter of a second.
func healthy(server Server, share, requests float64) UpstreamReport {
	return UpstreamReport{Server: server, Attempts: share * requests, Latency: 0.25}
}

// failing fails every attempt at once.
func failing(server Server, share, requests float64) UpstreamReport {
	return UpstreamReport{Server: server, Attempts: share * requests, Failed: share * requests}
}

// withLatency answers everything, in some seconds.
func withLatency(latency float64) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		return UpstreamReport{Server: server, Attempts: share * requests, Latency: latency}
	}
}

// partlyFailing fails a part of the attempts and answers the others in some seconds.
func partlyFailing(part, latency float64) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		attempts := share * requests
		return UpstreamReport{Server: server, Attempts: attempts, Failed: part * attempts, Latency: latency}
	}
}

// healthyExcept has all servers healthy but one.
func healthyExcept(other Server, respond responder) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		if server == other {
			return respond(server, share, requests)
		}
		return healthy(server, share, requests)
	}
}
