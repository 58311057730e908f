package balancer

// responder returns the report of the attempts that a server gets for its share of the requests per second.
type responder func(server Server, share, requests float64) UpstreamReport

// healthy completes all attempts in a quarter of a second.
func healthy(server Server, share, requests float64) UpstreamReport {
	return UpstreamReport{Server: server, Attempts: share * requests, Latency: 0.25}
}

// failing fails all attempts immediately.
func failing(server Server, share, requests float64) UpstreamReport {
	return UpstreamReport{Server: server, Attempts: share * requests, Failed: share * requests}
}

// withLatency returns a responder that completes all attempts with the given latency in seconds.
func withLatency(latency float64) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		return UpstreamReport{Server: server, Attempts: share * requests, Latency: latency}
	}
}

// partlyFailing returns a responder that fails a fraction of the attempts and completes the others with the given
// latency in seconds.
func partlyFailing(fraction, latency float64) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		attempts := share * requests
		return UpstreamReport{Server: server, Attempts: attempts, Failed: fraction * attempts, Latency: latency}
	}
}

// healthyExcept returns a responder that is healthy for all servers but one, for which it calls respond.
func healthyExcept(other Server, respond responder) responder {
	return func(server Server, share, requests float64) UpstreamReport {
		if server == other {
			return respond(server, share, requests)
		}
		return healthy(server, share, requests)
	}
}
