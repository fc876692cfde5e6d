package backends

// examineHolders looks at some of the engines that hold the most of the prompt's parts, the
// last part among them, which is the request's session.
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

// examineCanaries looks at the workers to which the request is limited by name; no other may
// get it.
func (s *search) examineCanaries() {
	for id := range s.software.Canaries() {
		if state := s.workers[id]; state != nil && state.isListed() && state.pool == s.pool {
			s.examine(state)
		}
	}
}

// scopeOf returns what is known of the prompt's parts at a version of the weights.
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
