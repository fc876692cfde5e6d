package backends

// lookAtHolders looks at some of the engines that hold the most of the prompt's parts, the
// last part among them, which is the request's session.
func (s *search) lookAtHolders() {
	if s.request.Engine == nil {
		return
	}
	for version := range s.pool.weights {
		if version.model != s.request.Engine.Model || version.version < s.required[version.model] {
			continue
		}
		for _, held := range s.scopeOf(version.version).holders {
			if held.known != nil && held.known.listed() && held.known.pool == s.pool {
				s.look(held.known)
			}
		}
	}
}

// lookAtCanaries looks at the workers to which the request is limited by name; no other may
// get it.
func (s *search) lookAtCanaries() {
	for id := range s.versions.Canaries() {
		if known := s.workers[id]; known != nil && known.listed() && known.pool == s.pool {
			s.look(known)
		}
	}
}

// scopeOf returns what is known of the prompt's parts at a version of the weights.
func (s *search) scopeOf(version WeightsVersion) *scoped {
	for _, known := range s.scopes {
		if known.version == version {
			return known
		}
	}
	known := s.lookUp(s.request.Engine, version)
	s.scopes = append(s.scopes, known)
	return known
}
