package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/boundedhttp"
	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// maxFetchedBytes bounds one message from another router, which may hold the whole configuration and the list of
// machines.
const maxFetchedBytes = 32 << 20

// peerFetcher fetches configurations and the list of machines from other routers.
type peerFetcher struct {
	router *Router
	http   *http.Client
}

var _ config.Peers = (*peerFetcher)(nil)

func newPeerFetcher(r *Router) *peerFetcher {
	transport := &http.Transport{IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: boundedhttp.MaxHeadBytes}
	return &peerFetcher{router: r, http: &http.Client{Transport: boundedhttp.Transport{Next: transport, MaxBodyBytes: maxFetchedBytes}}}
}

// Count implements config.Peers. It includes configured and listed routers, since a restarted
// router discovers the members only gradually.
func (p *peerFetcher) Count() int {
	known := map[fleet.Address]bool{p.router.address: true}
	for _, member := range p.router.peers.View().Routable() {
		known[member.Address] = true
	}
	for _, address := range p.router.options.Settings.Peers {
		known[address] = true
	}
	for _, address := range p.router.listedRouters() {
		known[address] = true
	}
	return len(known)
}

// Fetch implements config.Peers.
func (p *peerFetcher) Fetch(ctx context.Context, holder *config.Holder) error {
	peer, found := p.randomPeer()
	if !found {
		return nil
	}
	response, err := p.client(peer).Changes(ctx, &rpc.ChangesRequest{
		Header:         p.router.header(),
		After:          uint64(holder.Revision()),
		MachinesWanted: !p.router.machines.isKnown(),
	})
	if err != nil {
		return errors.Wrapf(err, "request changes from router %s", peer.Node)
	}
	p.router.machines.offer(response.GetMachines())
	return p.applyConfiguration(holder, peer, response)
}

func (p *peerFetcher) client(peer membership.Member) rpc.Peer {
	return rpc.NewPeerProtobufClient("http://"+string(peer.Address), p.http)
}

func (p *peerFetcher) applyConfiguration(holder *config.Holder, peer membership.Member, response *rpc.ChangesResponse) error {
	if snapshot := response.GetSnapshot(); snapshot != nil {
		p.router.offerConfiguration(snapshot, string(peer.Node))
		return nil
	}
	changes, err := config.ChangesFromMessages(response.GetChanges())
	if err != nil {
		return err
	}
	_, _, err = holder.OfferChanges(changes)
	return err
}

// randomPeer returns a random routable router other than this one.
func (p *peerFetcher) randomPeer() (membership.Member, bool) {
	var others []membership.Member
	for _, member := range p.router.peers.View().Routable() {
		if member.Node != p.router.node {
			others = append(others, member)
		}
	}
	if len(others) == 0 {
		return membership.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// machineFetchInterval is the mean time between requests to peers while no list of machines is
// known.
const machineFetchInterval = 500 * time.Millisecond

// fetchMachines requests a list of machines from peers until one is known. It starts as soon as
// there is a peer, so that a restarted router becomes ready quickly.
func (r *Router) fetchMachines() error {
	r.awaitPeer(jitter(machineFetchInterval))
	for !r.machines.isKnown() {
		ctx, cancel := context.WithTimeout(r.tomb.Context(context.Background()), peerTimeout)
		if err := r.fetcher.Fetch(ctx, r.holder); err != nil {
			r.logger.Debug().Err(err).Msg("machine_fetch_failed")
		}
		cancel()
		if !r.sleep(jitter(machineFetchInterval)) {
			return nil
		}
	}
	return nil
}

// awaitPeer waits until another router is known, for at most timeout.
func (r *Router) awaitPeer(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		changed := r.peers.Changed()
		if len(r.peers.View().Routable()) > 1 {
			return
		}
		select {
		case <-r.tomb.Dying():
			return
		case <-timer.C:
			return
		case <-changed:
		}
	}
}

// peerTimeout limits a request to a peer.
const peerTimeout = time.Second
