package backends

// home returns the engine that every node chooses first for the shared parts of the
// prompt, so that they are read at one engine without any talk; nil if there is none.
// Engines that are kept for others come last. The engine is a candidate from then on.
func (s *search) home(shared int) *state {
	if shared == 0 {
		return nil
	}
	engine := s.request.Engine
	key := engine.Parts[shared-1].ID
	if engine.Isolated {
		key += "/" + string(engine.Tenant)
	}
	hash := hashName(key)
	fits := func(known *state) bool { return s.look(known) == s.accepted }
	s.pool.buffer = s.pool.ring.window(hash, s.kept, s.pool.buffer)
	if home := homeIn(s.pool.buffer, fits); home != nil {
		return home
	}
	others := func(known *state) bool { return !s.kept(known) }
	s.pool.buffer = s.pool.ring.window(hash, others, s.pool.buffer)
	return homeIn(s.pool.buffer, fits)
}
