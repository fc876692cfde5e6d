package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/membership"
)

// lineCounter counts log lines.
type lineCounter struct{ lines int }

func (c *lineCounter) Write(line []byte) (int, error) {
	c.lines++
	return len(line), nil
}

func memberNamed(number int) membership.Member {
	return membership.Member{
		Node: fleet.NodeID(fmt.Sprintf("node-%04d", number)), Address: fleet.Address(fmt.Sprintf("127.0.0.1:%d", 10_000+number)),
		Region: "r", Zone: fleet.ZoneName(fmt.Sprint("z", number%5)), Incarnation: 1, State: membership.Alive,
	}
}

// newManualPeer returns a peer that is not started and uses the test's clock.
func newManualPeer(t *testing.T, now *time.Duration, lines *lineCounter) *Peer {
	p, err := New(Options{
		Membership: membership.Options{Self: memberNamed(0)},
		Holder:     config.NewHolder(),
		Logger:     zerolog.New(lines),
	})
	require.NoError(t, err)
	p.clock = clockFunc(func() time.Duration { return *now })
	return p
}

type clockFunc func() time.Duration

func (c clockFunc) Now() time.Duration { return c() }

// TestViewsAndLogLinesAreBoundedAtMassStart guards against building a view and logging a line for
// almost every message while many members join one by one.
func TestViewsAndLogLinesAreBoundedAtMassStart(t *testing.T) {
	const duration = 2 * time.Second
	viewCounts := make(map[int]int)
	for _, members := range []int{1000, 2000} {
		now, lines := time.Duration(0), &lineCounter{}
		p := newManualPeer(t, &now, lines)
		views, before := 0, p.View()
		for number := 1; number < members; number++ {
			now += duration / time.Duration(members)
			p.receive(membership.Message{Kind: membership.Ack, Sender: memberNamed(number)})
			if view := p.View(); view != before {
				views, before = views+1, view
			}
		}
		t.Logf("%d members: %d views, %d lines", members, views, lines.lines)
		viewCounts[members] = views
		assert.Less(t, views, members/4)
		assert.Less(t, lines.lines, views+3*maxMemberLinesPerSecond)
		now += time.Second
		p.tick()
		assert.Len(t, p.Members(), members)
	}
	assert.LessOrEqual(t, viewCounts[2000], viewCounts[1000])
}

// TestChangeInLargeFleetIsPublishedSoon guards against a change right after a view staying
// unpublished until the next message.
func TestChangeInLargeFleetIsPublishedSoon(t *testing.T) {
	now := time.Duration(0)
	p := newManualPeer(t, &now, &lineCounter{})
	var updates []membership.Member
	for number := 1; number < 1000; number++ {
		updates = append(updates, memberNamed(number))
	}
	p.receive(membership.Message{Kind: membership.Ack, Sender: memberNamed(1), Updates: updates, Complete: true})
	now += time.Second
	p.tick()
	require.Len(t, p.Members(), 1000)
	leaving := memberNamed(7)
	leaving.State = membership.Leaving
	p.receive(membership.Message{Kind: membership.Ack, Sender: memberNamed(1), Updates: []membership.Member{leaving}})
	another := memberNamed(8)
	another.State = membership.Leaving
	p.receive(membership.Message{Kind: membership.Ack, Sender: memberNamed(1), Updates: []membership.Member{another}})
	assert.LessOrEqual(t, p.untilWake(), 60*time.Millisecond)
	now += 60 * time.Millisecond
	p.tick()
	for _, node := range []fleet.NodeID{leaving.Node, another.Node} {
		member, _ := p.View().Find(node)
		assert.Equal(t, membership.Leaving, member.State)
	}
}
