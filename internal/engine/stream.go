package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Stream reads the frames of one stream from one connection. Only Close is safe for concurrent use.
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

// Next returns the next frame: FrameAccepted, then tokens without gaps, then FrameDone or
// FrameError, and after that io.EOF. It returns an *Error if the stream ends in any other way;
// Client.Resume can then continue it at Offset. The connection is closed when ctx ends, after which
// the stream can only be resumed.
func (s *Stream) Next(ctx context.Context) (Frame, error) {
	if s.ended {
		return Frame{}, io.EOF
	}
	stopWatching := context.AfterFunc(ctx, func() { s.body.Close() })
	frame, err := s.decoder.Decode()
	stopWatching()
	if err != nil {
		return Frame{}, s.fail(ctx, err)
	}
	if violation := s.validate(frame); violation != "" {
		s.Close()
		return Frame{}, &Error{Code: ErrorProtocol, Message: violation, Sent: true}
	}
	s.advance(frame)
	return frame, nil
}

// Offset returns the index of the next expected token, which is the offset for Client.Resume.
func (s *Stream) Offset() int { return s.nextIndex }

// ID returns the stream ID.
func (s *Stream) ID() fleet.StreamID { return s.id }

// Close closes the connection. The engine keeps the stream for a grace period, unless Client.Cancel
// ends it.
func (s *Stream) Close() {
	s.body.Close()
}

func (s *Stream) fail(ctx context.Context, err error) error {
	s.Close()
	failure := &Error{Code: ErrorConnectionLost, Message: err.Error(), Sent: true, Cause: err}
	switch {
	case ctx.Err() != nil:
		failure.Cause = ctx.Err()
		failure.Message = "stream read interrupted: " + ctx.Err().Error()
	case err == io.EOF:
		// A truncated stream must not look like a complete one, so io.EOF isn't passed on.
		failure.Cause = io.ErrUnexpectedEOF
		failure.Message = "stream ended without a final frame"
	case isMalformed(err):
		failure.Code = ErrorProtocol
	}
	return failure
}

// validate returns a description of the frame's protocol violation, or "".
func (s *Stream) validate(frame Frame) string {
	if frame.Stream != s.id {
		return fmt.Sprintf("received a frame of stream %q on stream %q", frame.Stream, s.id)
	}
	if s.accepted == (frame.Kind == FrameAccepted) {
		return fmt.Sprintf("unexpected frame %q", frame.Kind)
	}
	if frame.Kind == FrameToken && frame.Index != s.nextIndex {
		return fmt.Sprintf("received token %d, expected %d", frame.Index, s.nextIndex)
	}
	if frame.Kind == FrameDone && frame.Count != s.nextIndex {
		return fmt.Sprintf("final token count is %d, received %d", frame.Count, s.nextIndex)
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
