package gateway

import (
	"slices"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

const (
	// silenceAnnounceInterval is the time between two announcements of silent engines, which bounds
	// their bytes. The first one goes out at once.
	silenceAnnounceInterval = 500 * time.Millisecond
	// maxAnnouncedSilences bounds the engines in one announcement. Full reports name all of them.
	maxAnnouncedSilences = 16
)

// announceSilences tells other gateways of engines that have fallen silent, before the next report.
func (g *Gateway) announceSilences(now time.Duration) {
	silent := g.engineWatch.takeUnannounced(now)
	if len(silent) == 0 {
		return
	}
	report := &rpc.LoadReport{Node: string(g.node), Partial: true}
	for _, engine := range silent {
		report.Suspects = append(report.Suspects, string(engine))
	}
	for _, member := range rotatingSubset(g.loadPeers(), int(now/silenceAnnounceInterval), loadExchangeFanout) {
		go g.sendAnnouncement(member, report)
	}
}

// takeUnannounced returns the engines to announce now and clears them. Those that have been heard
// meanwhile are left out.
func (w *engineWatch) takeUnannounced(now time.Duration) []fleet.EngineID {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.unannounced = slices.DeleteFunc(w.unannounced, func(engine fleet.EngineID) bool {
		_, silent := w.silentSince[engine]
		return !silent
	})
	if len(w.unannounced) == 0 || now < w.announcedAt+silenceAnnounceInterval {
		return nil
	}
	silent := w.unannounced[:min(len(w.unannounced), maxAnnouncedSilences)]
	w.unannounced, w.announcedAt = nil, now
	return silent
}

// applyAnnouncedSuspects applies the suspects in another gateway's partial report.
func (g *Gateway) applyAnnouncedSuspects(report *rpc.LoadReport) {
	if len(report.GetSuspects()) == 0 {
		return
	}
	suspects := make([]fleet.EngineID, 0, len(report.GetSuspects()))
	for _, suspect := range report.GetSuspects() {
		suspects = append(suspects, fleet.EngineID(suspect))
	}
	g.workers.AddPeerSuspects(fleet.NodeID(report.GetNode()), suspects)
	g.engineWatch.addPeerSuspects(suspects)
}

// addPeerSuspects has late engines probed that another gateway has found silent.
func (w *engineWatch) addPeerSuspects(suspects []fleet.EngineID) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, engine := range suspects {
		w.monitor.PeerSuspects(engine)
	}
}
