package config

import (
	"fmt"
	"regexp"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Keys and key prefixes in the table service.
const (
	keyDocument   = "config/document"
	keyHead       = "config/head"
	prefixChange  = "config/change/"
	prefixCommand = "command/"
)

// maxHeadPatch is the largest number of changed items for which the head row includes the change.
const maxHeadPatch = 32

// documentRow is the value of keyDocument. Each commit compares the row's revision.
type documentRow struct {
	Document Document `json:"document,omitzero"`
	// Object is the name of the object that holds the document if it is too large for the row.
	Object string `json:"object,omitempty"`
}

// headRow is the value of keyHead, which nodes poll. Change is zero if it has more than
// maxHeadPatch items.
type headRow struct {
	Revision fleet.Revision `json:"revision"`
	Change   Change         `json:"change,omitzero"`
}

// Outcome is the final result of a command, stored under the command's token.
type Outcome struct {
	Token string `json:"token"`
	// Statement is the command as the operator wrote it.
	Statement string `json:"statement,omitempty"`
	// Code is resultcode.OK if the command succeeded, otherwise the reason for the refusal.
	Code    resultcode.Code `json:"code"`
	Message string          `json:"message,omitempty"`
	// Revision is the revision that the command created or, if it changed nothing, the current one
	// at that time.
	Revision fleet.Revision `json:"revision"`
}

// tokenPattern matches tokens that are safe in row keys and object names.
var tokenPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

func commandKey(token string) string { return prefixCommand + token }

// changeKey pads the revision with zeros: the keys' order is that of the revisions.
func changeKey(revision fleet.Revision) string {
	return fmt.Sprintf("%s%020d", prefixChange, uint64(revision))
}

// objectName includes the token: concurrent commits write different objects.
func objectName(revision fleet.Revision, token string) string {
	return fmt.Sprintf("%s/%020d/%s", keyDocument, uint64(revision), token)
}
