package coordinator

// addMetrics adds the metrics of the host and of each running tenant to the next batch of the Graphite sender.
func (h *Host) addMetrics(now float64) {
	sender := h.links.graphite
	identified, unidentified, _ := h.Router.Count()
	sender.Add(false, float64(len(h.tenants)), "host", "tenants")
	sender.Add(false, float64(identified), "host", "connections")
	sender.Add(false, float64(unidentified), "host", "strangers")
	sender.Add(true, float64(h.Scheduler.Stats.Turns), "host", "turns")
	sender.Add(true, float64(h.Scheduler.Stats.BudgetExhausted), "host", "held")
	for _, tenant := range h.Tenants() {
		if tenant.Coordinator == nil {
			continue
		}
		name := string(tenant.Name)
		work, _ := h.Scheduler.Usage(tenant.Name)
		sender.Add(true, work, "tenants", name, "work")
		h.call(now, tenant, func() { addFleetMetrics(sender, tenant.Coordinator.Fleet, now, "tenants", name) })
	}
}
