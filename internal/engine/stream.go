package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Stream reads the frames of one stream from one connection. It isn't safe for
// concurrent use, save Close.
type Stream struct {
	id        fleet.StreamID
	body      io.ReadCloser
	decoder   *FrameDecoder
	nextIndex int
	accepted  bool
	ended     bool
}

func newStream(id fleet.StreamID, offset int, response *http.Response, maxLineBytes int) *Stream {
	return &Stream{
		id:        id,
		body:      response.Body,
		decoder:   NewFrameDecoder(response.Body, maxLineBytes),
		nextIndex: offset,
	}
}

// Next returns the next frame: FrameAccepted first, then tokens without a gap,
// then FrameDone or FrameError, and io.EOF after that. Any other end is an
// *Error, and the stream can be resumed at Offset. When the context ends, the
// connection is closed, and the stream can only be resumed.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	if s.ended {
		return Frame{}, io.EOF
	}
	stop := context.AfterFunc(ctx, func() { s.body.Close() })
	frame, err := s.decoder.Decode()
	stop()
	if err != nil {
		return Frame{}, s.fail(ctx, err)
	}
	if problem := s.validate(frame); problem != "" {
		s.Close()
		return Frame{}, &Error{Code: ErrorProtocol, Message: problem, Sent: true}
	}
	s.advance(frame)
	return frame, nil
}

// Offset is the number of the token that a resume has to ask for.
func (s *Stream) Offset() int { return s.nextIndex }

// ID is the identifier of the stream.
func (s *Stream) ID() fleet.StreamID { return s.id }

// Close gives the connection up. The engine keeps the stream for its grace
// time; only Client.Cancel ends it at once.
func (s *Stream) Close() {
	s.body.Close()
}

func (s *Stream) fail(ctx context.Context, err error) error {
	s.Close()
	failure := &Error{Code: ErrorConnectionLost, Message: err.Error(), Sent: true, Cause: err}
	switch {
	case ctx.Err() != nil:
		failure.Cause = ctx.Err()
		failure.Message = "stream abandoned: " + ctx.Err().Error()
	case err == io.EOF:
		// An end without a final frame must never look like a regular one.
		failure.Cause = io.ErrUnexpectedEOF
		failure.Message = "stream ended without a final frame"
	case isMalformed(err):
		failure.Code = ErrorProtocol
	}
	return failure
}

// validate returns what is wrong with a frame, or "".
func (s *Stream) validate(frame Frame) string {
	if frame.Stream != s.id {
		return fmt.Sprintf("frame of stream %q on stream %q", frame.Stream, s.id)
	}
	if s.accepted == (frame.Kind == FrameAccepted) {
		return fmt.Sprintf("frame %q out of place", frame.Kind)
	}
	if frame.Kind == FrameToken && frame.Index != s.nextIndex {
		return fmt.Sprintf("token %d where %d was due", frame.Index, s.nextIndex)
	}
	if frame.Kind == FrameDone && frame.Count != s.nextIndex {
		return fmt.Sprintf("final count %d after %d tokens", frame.Count, s.nextIndex)
	}
	return ""
}

func (s *Stream) advance(frame Frame) {
	switch frame.Kind {
	case FrameAccepted:
		s.accepted = true
	case FrameToken:
		s.nextIndex++
	case FrameDone, FrameError:
		s.ended = true
		s.Close()
	}
}
