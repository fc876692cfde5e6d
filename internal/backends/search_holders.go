package backends

// examineHolders examines engines that hold the most leading parts of the prompt. The last part,
// which is specific to the session, counts as well.
func (s *search) examineHolders() {
	if s.request.Engine == nil {
		return
	}
	for version := range s.pool.versionCounts {
		if version.model != s.request.Engine.Model || version.version < s.required[version.model] {
			continue
		}
		for _, held := range s.scopeOf(version.version).holders {
			if held.state != nil && held.state.isListed() && held.state.pool == s.pool {
				s.examine(held.state)
			}
		}
	}
}

// examineCanaries examines the canaries that the request is limited to.
func (s *search) examineCanaries() {
	for id := range s.software.Canaries() {
		if state := s.workers[id]; state != nil && state.isListed() && state.pool == s.pool {
			s.examine(state)
		}
	}
}

// scopeOf returns the cache state of the prompt's parts for a model version.
func (s *search) scopeOf(version ModelVersion) *promptScope {
	for _, scoped := range s.scopes {
		if scoped.version == version {
			return scoped
		}
	}
	scoped := s.lookUpScope(s.request.Engine, version)
	s.scopes = append(s.scopes, scoped)
	return scoped
}
