package router

import (
	"github.com/tillerfall/tillerfall/internal/membership"
)

// peers is this router's place among the routers.
type peers struct {
	view *membership.View
}

func newPeers(r *Router) (*peers, error) {
	node := r.options.Settings.Node
	self := membership.Member{Node: r.node, Address: r.address, Region: node.Region, Zone: node.Zone, State: membership.Alive}
	return &peers{view: membership.NewView(1, self, []membership.Member{self})}, nil
}

// View returns the routers as this one knows them.
func (p *peers) View() *membership.View { return p.view }

func (p *peers) start() {}
func (p *peers) leave() {}
func (p *peers) stop()  {}

func (r *Router) followMembers() error { return nil }
