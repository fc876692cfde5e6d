package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// EventStreamType is the media type of a stream of frames.
const EventStreamType = "text/event-stream"

// DefaultMaxLineBytes bounds one line of an event stream.
const DefaultMaxLineBytes = 64 << 10

// Errors of the frame decoder besides io.EOF and the reader's own.
var (
	// ErrLineTooLong means that a line is over the decoder's bound.
	ErrLineTooLong = errors.New("line of event stream too long")
	// ErrMalformedFrame means that an event isn't a frame.
	ErrMalformedFrame = errors.New("malformed frame")
)

var (
	fieldEvent = []byte("event:")
	fieldData  = []byte("data:")
)

// WriteFrame writes a frame as one server-sent event. It doesn't flush.
func WriteFrame(writer io.Writer, frame Frame) error {
	data, err := json.Marshal(frame)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	event := make([]byte, 0, len(data)+len(frame.Kind)+len("event: \ndata: \n\n"))
	event = append(event, "event: "...)
	event = append(event, frame.Kind...)
	event = append(event, "\ndata: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	_, err = writer.Write(event)
	return err
}

// FrameDecoder reads frames from server-sent events (WHATWG HTML, section
// 9.2), of which it takes the fields event and data, the latter on one line.
type FrameDecoder struct {
	reader       *bufio.Reader
	maxLineBytes int
	// longLine gathers a line that is longer than the reader's buffer.
	longLine []byte
}

// decoderBufferBytes is the memory of an open stream for reading; ordinary
// frames fit into it.
const decoderBufferBytes = 2 << 10

// NewFrameDecoder returns a decoder that refuses lines over maxLineBytes, line
// ending included.
func NewFrameDecoder(reader io.Reader, maxLineBytes int) *FrameDecoder {
	size := min(decoderBufferBytes, maxLineBytes)
	return &FrameDecoder{reader: bufio.NewReaderSize(reader, size), maxLineBytes: maxLineBytes}
}

// Decode returns the next frame. It returns io.EOF when the input ends between
// two events and io.ErrUnexpectedEOF when it ends inside one: a frame counts
// only with the blank line that closes it.
func (d *FrameDecoder) Decode() (Frame, error) {
	var kind, data []byte
	begun := false
	for {
		line, err := d.readLine()
		if err != nil {
			if err == io.EOF && begun {
				return Frame{}, io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		if len(line) == 0 {
			if data == nil {
				kind, begun = nil, false
				continue
			}
			return parseFrame(kind, data)
		}
		begun = true
		if value, found := bytes.CutPrefix(line, fieldEvent); found {
			kind = append(kind[:0], bytes.TrimPrefix(value, []byte(" "))...)
			continue
		}
		if value, found := bytes.CutPrefix(line, fieldData); found {
			if data != nil {
				return Frame{}, errors.Wrap(ErrMalformedFrame, "second data line")
			}
			data = append([]byte{}, value...)
		}
	}
}

// readLine returns a line without its ending; the slice is valid until the
// next call.
func (d *FrameDecoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		line, err = d.readLongLine(line)
	}
	switch {
	case len(line) > d.maxLineBytes:
		return nil, ErrLineTooLong
	case err == io.EOF && len(line) > 0:
		return nil, io.ErrUnexpectedEOF
	case err != nil:
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// readLongLine goes on with a line that fills the reader's buffer, up to one
// buffer over the bound.
func (d *FrameDecoder) readLongLine(start []byte) ([]byte, error) {
	d.longLine = append(d.longLine[:0], start...)
	for {
		part, err := d.reader.ReadSlice('\n')
		d.longLine = append(d.longLine, part...)
		if err != bufio.ErrBufferFull || len(d.longLine) > d.maxLineBytes {
			return d.longLine, err
		}
	}
}

func parseFrame(kind, data []byte) (Frame, error) {
	var frame Frame
	if err := json.Unmarshal(data, &frame); err != nil {
		return Frame{}, errors.Wrap(ErrMalformedFrame, err.Error())
	}
	if string(kind) != string(frame.Kind) {
		return Frame{}, errors.Wrap(ErrMalformedFrame, "event name differs from kind")
	}
	switch frame.Kind {
	case FrameAccepted, FrameToken, FrameDone, FrameError:
	default:
		return Frame{}, errors.Wrapf(ErrMalformedFrame, "unknown kind %q", frame.Kind)
	}
	if frame.Index < 0 || frame.Count < 0 || frame.PromptTokens < 0 || frame.CachedTokens < 0 {
		return Frame{}, errors.Wrap(ErrMalformedFrame, "negative number")
	}
	return frame, nil
}
