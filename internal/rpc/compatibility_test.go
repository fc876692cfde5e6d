package rpc_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/tillerfall/tillerfall/internal/rpc"
)

// Nodes of two releases run side by side while machines are upgraded one after the other. The
// folders under testdata hold the descriptor of a release's messages and one of each message
// as that release encodes it, every field set.

// descriptorFile is the name of a release's descriptor.
const descriptorFile = "descriptor.binpb"

// releaseOf returns the descriptor of a release's messages.
func releaseOf(t *testing.T, folder string) protoreflect.FileDescriptor {
	content, err := os.ReadFile(filepath.Join(folder, descriptorFile))
	require.NoError(t, err)
	var described descriptorpb.FileDescriptorProto
	require.NoError(t, proto.Unmarshal(content, &described))
	file, err := protodesc.NewFile(&described, protoregistry.GlobalFiles)
	require.NoError(t, err)
	return file
}

// forEachMessage runs a test with each message of each release.
func forEachMessage(t *testing.T, test func(t *testing.T, before protoreflect.MessageDescriptor, encoded []byte)) {
	folders, err := filepath.Glob("testdata/*")
	require.NoError(t, err)
	require.NotEmpty(t, folders)
	for _, folder := range folders {
		messages := releaseOf(t, folder).Messages()
		for index := range messages.Len() {
			message := messages.Get(index)
			t.Run(filepath.Base(folder)+"/"+string(message.Name()), func(t *testing.T) {
				encoded, err := os.ReadFile(filepath.Join(folder, string(message.Name())+".binpb"))
				require.NoError(t, err)
				test(t, message, encoded)
			})
		}
	}
}

// presentOf returns an empty message of this release.
func presentOf(t *testing.T, name protoreflect.Name) protoreflect.Message {
	described := rpc.File_tillerfall_proto.Messages().ByName(name)
	require.NotNil(t, described, "a message has gone that the release before sends")
	return dynamicpb.NewMessage(described).ProtoReflect()
}

// TestMessagesOfTheReleaseBeforeAreRead has this release take in and pass on what the one
// before sends: no field is lost or changes its meaning.
func TestMessagesOfTheReleaseBeforeAreRead(t *testing.T) {
	forEachMessage(t, func(t *testing.T, before protoreflect.MessageDescriptor, encoded []byte) {
		present := presentOf(t, before.Name())
		require.NoError(t, proto.Unmarshal(encoded, present.Interface()))
		assertNothingUnknown(t, present)
		again, err := proto.Marshal(present.Interface())
		require.NoError(t, err)
		sent, received := dynamicpb.NewMessage(before), dynamicpb.NewMessage(before)
		require.NoError(t, proto.Unmarshal(encoded, sent))
		require.NoError(t, proto.Unmarshal(again, received))
		assert.True(t, proto.Equal(sent, received))
	})
}

// TestMessagesOfThisReleaseAreReadByTheOneBefore has the release before take in what this one
// sends: it passes over what it doesn't know and reads the rest.
func TestMessagesOfThisReleaseAreReadByTheOneBefore(t *testing.T) {
	forEachMessage(t, func(t *testing.T, before protoreflect.MessageDescriptor, encoded []byte) {
		present := presentOf(t, before.Name())
		fill(present, 0)
		sent, err := proto.Marshal(present.Interface())
		require.NoError(t, err)
		received, expected := dynamicpb.NewMessage(before), dynamicpb.NewMessage(before)
		require.NoError(t, proto.Unmarshal(sent, received))
		require.NoError(t, proto.Unmarshal(encoded, expected))
		dropUnknown(received.ProtoReflect())
		assert.True(t, proto.Equal(expected, received), "the fields that both know have the same values")
	})
}

// assertNothingUnknown checks that a message, and all in it, has no unknown fields.
func assertNothingUnknown(t *testing.T, message protoreflect.Message) {
	assert.Empty(t, message.GetUnknown())
	eachMessageIn(message, func(inner protoreflect.Message) { assertNothingUnknown(t, inner) })
}

// dropUnknown takes the unknown fields out of a message and all in it.
func dropUnknown(message protoreflect.Message) {
	message.SetUnknown(nil)
	eachMessageIn(message, dropUnknown)
}

// eachMessageIn visits the messages directly in a message.
func eachMessageIn(message protoreflect.Message, visit func(protoreflect.Message)) {
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.Message() == nil || field.IsMap():
		case field.IsList():
			for index := range value.List().Len() {
				visit(value.List().Get(index).Message())
			}
		default:
			visit(value.Message())
		}
		return true
	})
}

// mostNested bounds the depth to which messages in messages are filled.
const mostNested = 3

// fill sets each field of a message to a value that its number tells, so that two releases
// set the fields that both know alike.
func fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for index := range fields.Len() {
		field := fields.Get(index)
		nested := field.Message() != nil
		switch {
		case nested && depth >= mostNested, field.IsMap():
		case field.ContainingOneof() != nil && field.ContainingOneof().Fields().Get(0) != field:
		case field.IsList() && nested:
			fill(message.Mutable(field).List().AppendMutable().Message(), depth+1)
		case field.IsList():
			list := message.Mutable(field).List()
			list.Append(scalar(field, 1))
			list.Append(scalar(field, 2))
		case nested:
			fill(message.Mutable(field).Message(), depth+1)
		default:
			message.Set(field, scalar(field, 1))
		}
	}
}

// scalar returns a value of a field that isn't its default.
func scalar(field protoreflect.FieldDescriptor, salt int) protoreflect.Value {
	number := int(field.Number())*10 + salt
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(field.Enum().Values().Get(1).Number())
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(fmt.Sprint(number)))
	default:
		return protoreflect.ValueOfString(fmt.Sprint(number))
	}
}

// TestWriteRelease writes the files of a release into a new folder; set RELEASE to its commit,
// on that commit's code. It is run once a landing.
func TestWriteRelease(t *testing.T) {
	release := os.Getenv("RELEASE")
	if release == "" || strings.ContainsAny(release, "/.") {
		t.Skip("RELEASE names no release to write")
	}
	folder := filepath.Join("testdata", release)
	require.NoError(t, os.MkdirAll(folder, 0o755))
	described, err := proto.MarshalOptions{Deterministic: true}.Marshal(protodesc.ToFileDescriptorProto(rpc.File_tillerfall_proto))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(folder, descriptorFile), described, 0o644))
	messages := rpc.File_tillerfall_proto.Messages()
	for index := range messages.Len() {
		message := dynamicpb.NewMessage(messages.Get(index))
		fill(message.ProtoReflect(), 0)
		encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(filepath.Join(folder, string(messages.Get(index).Name())+".binpb"), encoded, 0o644))
	}
}
