package proxy

import "snowquay/balancer"

const saveInterval = 1.0 // seconds between two snapshots at least

// restoreTables takes the tables of the stored snapshot, so that a proxy that restarts does not need a coordinator.
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

func (p *Proxy) saveTables(now float64) {
	p.unsaved = false
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

// tablesChanged closes the idle connections to servers that have left the tables; requests in flight there go on.
func (p *Proxy) tablesChanged(now float64, entries int, left []balancer.Server) {
	p.unsaved = p.config.Store != nil
	p.Core.ForgetServers(left)
	for _, server := range left {
		p.removeTarget(server)
	}
	if p.config.Observer != nil {
		p.config.Observer.TableChanged(now, entries, p.classesWithServers())
	}
}

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

// classesWithServers says of each class whether its table has a server.
func (p *Proxy) classesWithServers() []bool {
	var hasServer []bool
	for class := range p.config.Forwarding.ClassNames {
		hasServer = append(hasServer, p.Core.Tables.Table(balancer.Class(class)).Len() > 0)
	}
	return hasServer
}
