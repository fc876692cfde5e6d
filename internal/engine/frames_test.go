package engine_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
)

const testMaxLineBytes = 512

// encodedStream returns the encoding of a complete stream and its frames.
func encodedStream(t testing.TB) ([]byte, []engine.Frame) {
	frames := []engine.Frame{
		{Kind: engine.FrameAccepted, Stream: "r.1", PromptTokens: 9},
		{Kind: engine.FrameToken, Stream: "r.1", Index: 0, Text: "0a1234 "},
		{Kind: engine.FrameToken, Stream: "r.1", Index: 1, Text: "line\nbreak\r\n\r\n"},
		{Kind: engine.FrameDone, Stream: "r.1", Count: 2, FinishReason: "stop"},
	}
	var buffer bytes.Buffer
	for _, frame := range frames {
		require.NoError(t, engine.WriteFrame(&buffer, frame))
	}
	return buffer.Bytes(), frames
}

func decodeAll(reader io.Reader) ([]engine.Frame, error) {
	decoder := engine.NewFrameDecoder(reader, testMaxLineBytes)
	frames := []engine.Frame{}
	for {
		frame, err := decoder.Decode()
		if err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}

func TestDecoderYieldsOnlyCompleteFramesOfTruncatedInput(t *testing.T) {
	stream, want := encodedStream(t)
	for cut := range len(stream) + 1 {
		frames, err := decodeAll(iotest.OneByteReader(bytes.NewReader(stream[:cut])))
		complete := bytes.Count(stream[:cut], []byte("\n\n"))
		require.Len(t, frames, complete, "cut at %d", cut)
		require.Equal(t, want[:complete], frames)
		if bytes.HasSuffix(stream[:cut], []byte("\n\n")) || cut == 0 {
			require.Equal(t, io.EOF, err, "cut at %d", cut)
		} else {
			require.Equal(t, io.ErrUnexpectedEOF, err, "cut at %d", cut)
		}
	}
}

func TestDecoderRejectsMalformedFrames(t *testing.T) {
	for name, test := range map[string]struct {
		input string
		want  error
	}{
		"long line":       {"data: " + strings.Repeat("x", testMaxLineBytes) + "\n\n", engine.ErrLineTooLong},
		"invalid JSON":    {"event: token\ndata: {\n\n", engine.ErrMalformedFrame},
		"mismatched kind": {"event: done\ndata: {\"kind\":\"token\"}\n\n", engine.ErrMalformedFrame},
		"no event name":   {"data: {\"kind\":\"token\"}\n\n", engine.ErrMalformedFrame},
		"unknown kind":    {"event: x\ndata: {\"kind\":\"x\"}\n\n", engine.ErrMalformedFrame},
		"negative index":  {"event: token\ndata: {\"kind\":\"token\",\"index\":-1}\n\n", engine.ErrMalformedFrame},
		"two data lines":  {"event: token\ndata: {\ndata: }\n\n", engine.ErrMalformedFrame},
	} {
		frames, err := decodeAll(strings.NewReader(test.input))
		assert.ErrorIs(t, err, test.want, name)
		assert.Empty(t, frames, name)
	}
	frames, err := decodeAll(strings.NewReader(": ping\n\n\nid: 4\r\nevent:token\r\ndata:{\"kind\":\"token\"}\r\n\r\n"))
	assert.Equal(t, io.EOF, err)
	assert.Len(t, frames, 1)
}

func FuzzFrameDecoder(f *testing.F) {
	stream, _ := encodedStream(f)
	f.Add(stream)
	f.Add([]byte(": comment\n\nevent: token\r\ndata: {\"kind\":\"token\",\"stream\":\"a\"}\r\n\r\n"))
	f.Add([]byte("event: done\ndata: {\"kind\":\"done\",\"count\":-1}\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		frames, err := decodeAll(bytes.NewReader(input))
		require.Error(t, err)
		var buffer bytes.Buffer
		for _, frame := range frames {
			require.NoError(t, engine.WriteFrame(&buffer, frame))
		}
		decoder := engine.NewFrameDecoder(&buffer, 8*len(input)+testMaxLineBytes)
		for _, frame := range frames {
			decoded, err := decoder.Decode()
			require.NoError(t, err)
			require.Equal(t, frame, decoded)
		}
	})
}

func TestChecksumCoversTenantWeightsAndHashes(t *testing.T) {
	bundle := engine.KVBundle{Tenant: "a", ModelVersion: engine.ModelVersion{Model: "m", Version: "v"}, Hashes: []fleet.BlockHash{1, 2}}
	sum := bundle.ComputeChecksum()
	for _, change := range []func(*engine.KVBundle){
		func(b *engine.KVBundle) { b.Tenant = "b" },
		func(b *engine.KVBundle) { b.ModelVersion.Model, b.ModelVersion.Adapter = "", "m" },
		func(b *engine.KVBundle) { b.ModelVersion.Version = "w" },
		func(b *engine.KVBundle) { b.Hashes = []fleet.BlockHash{2, 1} },
	} {
		changed := bundle
		change(&changed)
		assert.NotEqual(t, sum, changed.ComputeChecksum())
	}
}
