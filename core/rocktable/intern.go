package rocktable

// intern returns the id of a name, and whether the name is new and received the next id.
func intern[K ~int32](ids *map[string]K, name string) (K, bool) {
	if id, ok := (*ids)[name]; ok {
		return id, false
	}
	if *ids == nil {
		*ids = make(map[string]K)
	}
	// Ids start at 1, so that 0 means none.
	id := K(len(*ids) + 1)
	(*ids)[name] = id
	return id, true
}

// InternHost returns the row of the host with this name, which it adds if there is none.
func (w *World) InternHost(name string) *Host {
	id, _ := intern(&w.names.hosts, name)
	if row := w.Hosts.Get(id); row != nil {
		return row
	}
	return w.Hosts.Put(id, Host{ID: id, Name: name})
}

// HostNamed returns the row of the host with this name, or nil.
func (w *World) HostNamed(name string) *Host { return w.Hosts.Get(w.names.hosts[name]) }

// InternDataCentre returns the row of the data centre with this name, which it adds if there is none.
func (w *World) InternDataCentre(name, region string) *DataCentre {
	id, _ := intern(&w.names.dataCentres, name)
	if row := w.DataCentres.Get(id); row != nil {
		if region != "" {
			row.Region = region
		}
		return row
	}
	return w.DataCentres.Put(id, DataCentre{ID: id, Name: name, Region: region})
}

// InternServer returns the row of the backend server with this name, which it adds if there is none.
func (w *World) InternServer(name string) *BackendServer {
	id, _ := intern(&w.names.servers, name)
	if row := w.Servers.Get(id); row != nil {
		return row
	}
	return w.Servers.Put(id, BackendServer{ID: id, Name: name})
}

// ServerNamed returns the row of the backend server with this name, or nil.
func (w *World) ServerNamed(name string) *BackendServer { return w.Servers.Get(w.names.servers[name]) }

// InternCaller returns the row of the caller with this name, which it adds if there is none.
func (w *World) InternCaller(name string) *Caller {
	id, _ := intern(&w.names.callers, name)
	if row := w.Callers.Get(id); row != nil {
		return row
	}
	return w.Callers.Put(id, Caller{ID: id})
}

// CallerNamed returns the row of the caller with this name, or nil.
func (w *World) CallerNamed(name string) *Caller { return w.Callers.Get(w.names.callers[name]) }

// InternRank returns the row of the rank with this name, which it adds if there is none.
func (w *World) InternRank(name string) *Rank {
	id, _ := intern(&w.names.ranks, name)
	id-- // ids of ranks start at 0, because NoRank means none
	if row := w.Ranks.Get(id); row != nil {
		return row
	}
	return w.Ranks.Put(id, Rank{ID: id})
}

// InternPipeline returns the row of the pipeline with this name, which it adds if there is none.
func (w *World) InternPipeline(name string) *Pipeline {
	id, _ := intern(&w.names.pipelines, name)
	if row := w.Pipelines.Get(id); row != nil {
		return row
	}
	return w.Pipelines.Put(id, Pipeline{ID: id})
}

// InternService returns the row of the service with this name, which it adds if there is none.
func (w *World) InternService(name string) *Service {
	id, _ := intern(&w.names.services, name)
	if row := w.Services.Get(id); row != nil {
		return row
	}
	return w.Services.Put(id, Service{ID: id})
}
