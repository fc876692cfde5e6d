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

// DefaultMaxLineBytes is the default limit for the length of a line in an event stream.
const DefaultMaxLineBytes = 64 << 10

// Errors of FrameDecoder, besides io.EOF, io.ErrUnexpectedEOF and errors of the underlying reader.
var (
	// ErrLineTooLong means that a line exceeds the decoder's limit.
	ErrLineTooLong = errors.New("event stream line too long")
	// ErrMalformedFrame means that an event isn't a valid frame.
	ErrMalformedFrame = errors.New("malformed frame")
)

var (
	fieldEvent = []byte("event:")
	fieldData  = []byte("data:")
)

// WriteFrame writes a frame as one server-sent event, without flushing.
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

// FrameDecoder decodes frames from server-sent events (WHATWG HTML, section 9.2). It reads the
// event and data fields and ignores others; an event must have a single data line.
type FrameDecoder struct {
	reader       *bufio.Reader
	maxLineBytes int
	// longLine accumulates a line that exceeds the reader's buffer.
	longLine []byte
}

// decoderBufferBytes is the read buffer size of an open stream. It holds a typical frame.
const decoderBufferBytes = 2 << 10

// NewFrameDecoder returns a decoder that rejects lines longer than maxLineBytes, including the line
// ending.
func NewFrameDecoder(reader io.Reader, maxLineBytes int) *FrameDecoder {
	size := min(decoderBufferBytes, maxLineBytes)
	return &FrameDecoder{reader: bufio.NewReaderSize(reader, size), maxLineBytes: maxLineBytes}
}

// Decode returns the next frame. It returns io.EOF if the input ends between two events and
// io.ErrUnexpectedEOF if it ends within one: an event is complete only after its terminating blank
// line.
func (d *FrameDecoder) Decode() (Frame, error) {
	var kind, data []byte
	inEvent := false
	for {
		line, err := d.readLine()
		if err != nil {
			if err == io.EOF && inEvent {
				return Frame{}, io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		if len(line) == 0 {
			if data == nil {
				kind, inEvent = nil, false
				continue
			}
			return parseFrame(kind, data)
		}
		inEvent = true
		if value, found := bytes.CutPrefix(line, fieldEvent); found {
			kind = append(kind[:0], bytes.TrimPrefix(value, []byte(" "))...)
			continue
		}
		if value, found := bytes.CutPrefix(line, fieldData); found {
			if data != nil {
				return Frame{}, errors.Wrap(ErrMalformedFrame, "event has more than one data line")
			}
			data = append([]byte{}, value...)
		}
	}
}

// readLine returns the next line without its line ending. The slice is valid until the next call.
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

// readLongLine reads the rest of a line that exceeds the reader's buffer. It stops at most one
// buffer beyond the line limit.
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
		return Frame{}, errors.Wrap(ErrMalformedFrame, "negative index or count")
	}
	return frame, nil
}
