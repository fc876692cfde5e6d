package backends

// home returns the home of a prompt's shared parts: the engine that all nodes choose first, so that
// the parts are computed at one engine without coordination. It returns nil if there is none.
// Engines reserved for prompts of another size are considered last. The home becomes a candidate.
func (s *search) home(shared int) *workerState {
	if shared == 0 {
		return nil
	}
	engine := s.request.Engine
	key := engine.Parts[shared-1].ID
	if engine.Isolated {
		key += "/" + string(engine.Tenant)
	}
	hash := hashName(key)
	isEligible := func(state *workerState) bool { return s.examine(state) == s.acceptedVerdict }
	s.pool.windowBuffer = s.pool.ring.window(hash, s.isReserved, s.pool.windowBuffer)
	if home := homeIn(s.pool.windowBuffer, isEligible); home != nil {
		return home
	}
	isUnreserved := func(state *workerState) bool { return !s.isReserved(state) }
	s.pool.windowBuffer = s.pool.ring.window(hash, isUnreserved, s.pool.windowBuffer)
	return homeIn(s.pool.windowBuffer, isEligible)
}
