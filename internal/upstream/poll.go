package upstream

import (
	"context"
	"net"
	"net/http/httptrace"
	"time"

	"github.com/go-faster/errors"
)

// ErrOtherPoll means that a response answers another poll than the one that waits for it.
var ErrOtherPoll = errors.New("response to another poll: its position differs")

// poll is one call for the changes after a position, made by a net/http client that keeps its connection for
// further ones. Its response names no request: what it says about positions has to prove which call it answers.
type poll struct {
	since uint64
	conn  net.Conn
	// reused is set if the connection has carried another call. Only then may a surplus response to it come in the
	// place of the call's own.
	reused bool
	// wasClosed is set if an earlier poll had closed the connection. net/http reuses it until its reader has seen
	// that, and takes what it has read ahead for the response.
	wasClosed bool
}

// DoPoll makes a call for the changes after a position, which returns what its response says about positions. The
// call must use the context for its request, and its connections to the worker must serve for polls alone. It is
// made once more if its connection had been closed.
//
// DoPoll returns the error of the call, or ErrOtherPoll if the response answers another one.
func DoPoll(ctx context.Context, since uint64, call func(ctx context.Context) (Changes, error)) error {
	for {
		current := &poll{since: since}
		changes, err := call(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: current.setConnection}))
		if !current.wasClosed || ctx.Err() != nil {
			return current.finish(changes, err)
		}
	}
}

// setConnection records the connection of the call. To set no deadline fails on a closed one alone.
func (p *poll) setConnection(got httptrace.GotConnInfo) {
	p.conn, p.reused = got.Conn, got.Reused
	p.wasClosed = got.Reused && errors.Is(got.Conn.SetWriteDeadline(time.Time{}), net.ErrClosed)
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

// finish ends a poll whose response has been read and decoded, or has failed with an error, which it returns. It
// returns ErrOtherPoll if the response answers another poll. The connection is closed unless the response proves
// which poll it answers; the first one on a connection can only answer its own.
func (p *poll) finish(changes Changes, err error) error {
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
