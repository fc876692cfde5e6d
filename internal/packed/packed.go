// Package packed encodes protobuf messages between nodes in compressed form. Long lists of members
// or rows compress well because their entries repeat the names of zones, regions and services.
package packed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// ErrTooLarge is returned for a message that exceeds the reader's limit.
var ErrTooLarge = errors.New("message too large")

// compressors pools compressors for reuse; each takes several hundred KB.
var compressors sync.Pool

// Pack encodes and compresses a message.
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

// newCompressor returns a pooled or new compressor that writes to buffer.
func newCompressor(buffer *bytes.Buffer) (*flate.Writer, error) {
	if pooled, found := compressors.Get().(*flate.Writer); found {
		pooled.Reset(buffer)
		return pooled, nil
	}
	return flate.NewWriter(buffer, flate.BestSpeed)
}

// Unpack decompresses and decodes a message from Pack. It returns ErrTooLarge if the message is
// longer than maxBytes uncompressed.
func Unpack(content []byte, maxBytes int64, message proto.Message) error {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(content)), maxBytes+1))
	if err != nil {
		return errors.Wrap(err, "decompress")
	}
	if int64(len(decompressed)) > maxBytes {
		return ErrTooLarge
	}
	if err := proto.Unmarshal(decompressed, message); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}
