package deployment

import "snowquay/balancer"

// NewBalancer returns a balancer for the coordinator that these settings configure.
func (d *Deployment) NewBalancer(seed uint64) *balancer.Balancer {
	return balancer.New(seed, d.requestClasses(), d.dataPlane(), d.channel(), d.guarantees(), d.reporting(),
		balancer.HealthChecking{
			Allowed: d.HealthChecking.Allowed,
			Price:   d.Prices.HealthCheck,
			Timeout: d.HealthChecking.ConnectTimeout,
		},
		balancer.Discovery{
			Polled:  d.DiscoveryMode == polledDiscovery,
			Weights: weightSources[d.WeightSource],
		})
}

func (d *Deployment) requestClasses() []balancer.RequestClass {
	classes := make([]balancer.RequestClass, 0, len(d.Classes))
	for number, settings := range d.Classes {
		class := balancer.RequestClass{
			PriorityWeight:   settings.PriorityWeight,
			LateWeight:       settings.LateWeight,
			LatencyObjective: settings.LatencyObjective,
			ObjectiveStretch: settings.ObjectiveStretch,
			ClientTimeout:    settings.ClientTimeout,
			Idempotency:      idempotencies[settings.Idempotency],
			DedupScope:       dedupScopes[settings.DedupScope],
			DedupWindow:      settings.DedupWindow,
			ZoneLocal:        flagOf(d.DataPlane.ZoneLocalClasses, number),
			Writes:           flagOf(d.DataPlane.WriteClasses, number),
		}
		for _, zone := range settings.AllowedZones {
			class.AllowedZones = append(class.AllowedZones, balancer.Zone(zone))
		}
		classes = append(classes, class)
	}
	return classes
}

// flagOf returns the flag of a class, or false if the list is too short to contain it.
func flagOf(flags []bool, class int) bool { return class < len(flags) && flags[class] }

func (d *Deployment) dataPlane() balancer.DataPlane {
	return balancer.DataPlane{
		Proxies:              d.DataPlane.Proxies,
		Coordinators:         d.Coordinators,
		Self:                 balancer.Coordinator(d.Ordinal),
		DefaultTableSize:     d.DataPlane.DefaultTableSize,
		EjectAfterFailures:   d.DataPlane.EjectAfterFailures,
		DefaultRetry:         balancer.RetryPolicy(d.DataPlane.DefaultRetry),
		AttemptTimeoutFactor: d.DataPlane.AttemptTimeoutFactor,
		MinConnections:       d.DataPlane.MinConnections,
		Admission:            admissionModes[d.DataPlane.AdmissionMode],
	}
}

func (d *Deployment) channel() balancer.Channel {
	return balancer.Channel{
		EntriesPerSecond: d.DataPlane.EntriesPerSecond,
		MessageOverhead:  d.DataPlane.MessageOverhead,
		MaxQueued:        d.DataPlane.MaxQueuedEntries,
		MeanDelay:        d.DataPlane.MeanDelay,
		MaxDelay:         d.DataPlane.MaxDelay,
		MaxMessages:      d.DataPlane.MaxMessages,
		MessageWindow:    d.DataPlane.MessageWindow,
	}
}

func (d *Deployment) guarantees() balancer.Guarantees {
	return balancer.Guarantees{
		DrainDeadline:         d.Guarantees.DrainDeadline,
		EmptyTableDeadline:    d.DataPlane.EmptyTableDeadline,
		WarmupStartFraction:   d.Guarantees.WarmupStartFraction,
		WarmupDuration:        d.Guarantees.WarmupDuration,
		OverloadFactor:        d.Guarantees.OverloadFactor,
		OverloadWindow:        d.Guarantees.OverloadWindow,
		DiscoveryPollDeadline: d.Guarantees.DiscoveryPollDeadline,
		RemovalIsAdvisory:     d.Guarantees.RemovalIsAdvisory,
	}
}

func (d *Deployment) reporting() balancer.Reporting {
	return balancer.Reporting{
		Period:           d.DataPlane.ReportPeriod,
		EntriesPerSecond: d.DataPlane.ReportEntriesPerSecond,
		Piggybacked:      d.LoadReport.Delivery == piggybackedReports,
		Metrics:          d.LoadMetrics(),
	}
}
