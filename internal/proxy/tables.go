package proxy

import "snowquay/balancer"

const saveInterval = 1.0 // minimum seconds between snapshots

// restoreTables restores the tables from the stored snapshot, so that a restarted proxy can forward requests without a coordinator.
func (p *Proxy) restoreTables(now float64) {
	if p.config.Store == nil {
		return
	}
	snapshot, err := p.config.Store.Load()
	if err != nil {
		p.config.Log("snapshot cannot be read", "error", err)
		return
	}
	if snapshot == nil {
		return
	}
	if err := p.Core.Tables.Restore(now, snapshot); err != nil {
		p.config.Log("snapshot rejected", "error", err)
		return
	}
	p.config.Log("tables restored from snapshot", "age_seconds", p.Core.Tables.Age(now))
}

// saveTables saves a snapshot of the tables to the Store.
func (p *Proxy) saveTables(now float64) {
	p.tablesUnsaved = false
	p.savedAt = now
	p.Stats.Saves++
	snapshot, err := p.Core.Tables.Save()
	if err == nil {
		err = p.config.Store.Save(snapshot)
	}
	if err != nil {
		p.Stats.SaveFailed++
		p.config.Log("snapshot cannot be saved", "error", err)
	}
}

// handleTableChange handles a change of entries in the tables. It closes the idle connections to servers that no table has any more;
// requests in flight to them continue.
func (p *Proxy) handleTableChange(now float64, entries int, removed []balancer.Server) {
	p.tablesUnsaved = p.config.Store != nil
	p.Core.ForgetServers(removed)
	for _, server := range removed {
		p.removeTarget(server)
	}
	if p.config.Observer != nil {
		p.config.Observer.TableChanged(now, entries, p.classesWithServers())
	}
}

// removeTarget removes the target for a server and closes its idle connections.
func (p *Proxy) removeTarget(server balancer.Server) {
	t := p.targets[server]
	if t == nil {
		return
	}
	delete(p.targets, server)
	idle := t.idle
	t.idle = nil
	t.removed = true
	for _, conn := range idle {
		delete(p.connections, conn.id)
		p.io.Close(conn.id)
	}
}

// classesWithServers reports for each class whether its table has a server.
func (p *Proxy) classesWithServers() []bool {
	var hasServer []bool
	for class := range p.config.Forwarding.ClassNames {
		hasServer = append(hasServer, p.Core.Tables.Table(balancer.Class(class)).Len() > 0)
	}
	return hasServer
}
