package quota

// OwnFraction returns this node's part of the limit that belongs to it and its reachable peers, by
// their request rates.
func (l *Limiter) OwnFraction() float64 {
	total := 1.0
	for _, peer := range l.peers {
		if !peer.unreachable {
			total += peer.weight
		}
	}
	return 1 / total
}
