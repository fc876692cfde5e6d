// Package packed compresses messages between nodes. Long lists of members or rows repeat the
// names of zones, regions and services in each entry, and shrink to a fifth.
package packed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// ErrTooLarge means that a message is larger than its reader takes.
var ErrTooLarge = errors.New("message too large")

// compressors keeps compressors, each of which takes some hundred KB.
var compressors sync.Pool

// Pack returns a message encoded and compressed.
func Pack(message proto.Message) ([]byte, error) {
	content, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	var compressed bytes.Buffer
	writer, err := newCompressor(&compressed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	defer compressors.Put(writer)
	if _, err := writer.Write(content); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return compressed.Bytes(), nil
}

// newCompressor returns a compressor that writes to a buffer.
func newCompressor(buffer *bytes.Buffer) (*flate.Writer, error) {
	if kept, found := compressors.Get().(*flate.Writer); found {
		kept.Reset(buffer)
		return kept, nil
	}
	return flate.NewWriter(buffer, flate.BestSpeed)
}

// Unpack reads a message that Pack has returned, of at most so many bytes uncompressed.
func Unpack(content []byte, most int64, into proto.Message) error {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), most+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if int64(len(plain)) > most {
		return ErrTooLarge
	}
	if err := proto.Unmarshal(plain, into); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}
