package upstream

import (
	"context"
	"net"
	"net/http/httptrace"

	"github.com/go-faster/errors"
)

// ErrOtherPoll means that a response answers another poll than the one that waits for it.
var ErrOtherPoll = errors.New("response to another poll: its position differs")

// Poll is one call for the changes after a position, made by a net/http client that keeps its connection for
// further ones. Its response names no request: what it says about positions has to prove which call it answers.
type Poll struct {
	since uint64
	conn  net.Conn
	// reused is set if the connection has carried another call. Only then may a surplus response to it come in the
	// place of the call's own.
	reused bool
}

// TrackPoll returns the context of a call for the changes after a position, and the poll to finish with its
// outcome. Nothing else may use the client's connections to the worker meanwhile.
func TrackPoll(ctx context.Context, since uint64) (context.Context, *Poll) {
	poll := &Poll{since: since}
	trace := &httptrace.ClientTrace{GotConn: func(got httptrace.GotConnInfo) { poll.conn, poll.reused = got.Conn, got.Reused }}
	return httptrace.WithClientTrace(ctx, trace), poll
}

// Changes is what the response to a poll says about positions.
type Changes struct {
	// Numbers are the positions of the changes.
	Numbers []uint64
	// Next is the position after the last change, if StatesNext is set.
	Next       uint64
	StatesNext bool
	// Lost is set if earlier changes after the requested position are no longer available.
	Lost bool
}

// identify tells whether a response with the changes answers a poll. A late copy of an earlier response has
// changes up to the position, which they have moved. One that states a gap means that there are later ones.
func (c *Changes) identify(since uint64) Identity {
	for _, number := range c.Numbers {
		if number <= since {
			return Foreign
		}
	}
	switch {
	case !c.StatesNext && len(c.Numbers) == 0:
		return Unidentified
	case !c.StatesNext, c.Next > since, c.Next == since && !c.Lost:
		return Identified
	default:
		return Foreign
	}
}

// Finish ends a poll whose response has been read and decoded, or has failed with an error, which it returns. It
// returns ErrOtherPoll if the response answers another poll. The connection is closed unless the response proves
// which poll it answers; the first one on a connection can only answer its own.
func (p *Poll) Finish(changes Changes, err error) error {
	if err == nil {
		identity := changes.identify(p.since)
		if identity == Identified || (identity == Foreign && !p.reused) {
			return nil
		}
		if identity == Foreign {
			err = errors.Wrapf(ErrOtherPoll, "%d changes, next %d after %d, lost %t", len(changes.Numbers), changes.Next, p.since, changes.Lost)
		}
	}
	if p.conn != nil {
		p.conn.Close()
	}
	return err
}
