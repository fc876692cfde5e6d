package backends

// home returns the engine that every node chooses first for the shared parts of the
// prompt, so that they are read at one engine without any talk; nil if there is none.
// Engines that are kept for others come last. The engine is a candidate from then on.
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
	isEligible := func(state *workerState) bool { return s.examine(state) == s.accepted }
	s.pool.windowBuffer = s.pool.ring.window(hash, s.isReserved, s.pool.windowBuffer)
	if home := homeIn(s.pool.windowBuffer, isEligible); home != nil {
		return home
	}
	isUnreserved := func(state *workerState) bool { return !s.isReserved(state) }
	s.pool.windowBuffer = s.pool.ring.window(hash, isUnreserved, s.pool.windowBuffer)
	return homeIn(s.pool.windowBuffer, isEligible)
}
