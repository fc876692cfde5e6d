package config

import (
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// SnapshotMessage encodes a document as a message to other nodes.
func SnapshotMessage(document Document) (*rpc.ConfigSnapshot, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return &rpc.ConfigSnapshot{Revision: uint64(document.Revision), Document: encoded}, nil
}

// DocumentFromMessage decodes a document from another node. It does not validate the document;
// Holder.OfferSnapshot does.
func DocumentFromMessage(message *rpc.ConfigSnapshot) (Document, error) {
	var document Document
	if err := json.Unmarshal(message.GetDocument(), &document); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if uint64(document.Revision) != message.GetRevision() {
		return Document{}, errors.Errorf("document of revision %d sent as %d", document.Revision, message.GetRevision())
	}
	return document, nil
}

// ChangeMessages encodes changes as messages to other nodes.
func ChangeMessages(changes []Change) ([]*rpc.ConfigChange, error) {
	messages := make([]*rpc.ConfigChange, 0, len(changes))
	for _, change := range changes {
		patch, err := json.Marshal(change.Patch)
		if err != nil {
			return nil, errors.Wrapf(err, "encode change %d", change.Revision)
		}
		messages = append(messages, &rpc.ConfigChange{Revision: uint64(change.Revision), Patch: patch})
	}
	return messages, nil
}

// ChangesFromMessages decodes changes from another node.
func ChangesFromMessages(messages []*rpc.ConfigChange) ([]Change, error) {
	changes := make([]Change, 0, len(messages))
	for _, message := range messages {
		change := Change{Revision: fleet.Revision(message.GetRevision())}
		if err := json.Unmarshal(message.GetPatch(), &change.Patch); err != nil {
			return nil, errors.Wrapf(err, "decode change %d", change.Revision)
		}
		changes = append(changes, change)
	}
	return changes, nil
}
