package config

import (
	"fmt"
	"regexp"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Keys of the table service.
const (
	keyDocument   = "config/document"
	keyHead       = "config/head"
	prefixChange  = "config/change/"
	prefixCommand = "command/"
)

// maxHeadPatch is the number of changed items up to which the head repeats the
// last change.
const maxHeadPatch = 32

// documentRow is the value of keyDocument. Each commit compares and writes it.
type documentRow struct {
	Document Document `json:"document,omitzero"`
	// Object names the object that holds the document instead.
	Object string `json:"object,omitempty"`
}

// headRow is the value of keyHead, which nodes poll. Change is left out, with
// revision 0, if it is large.
type headRow struct {
	Revision fleet.Revision `json:"revision"`
	Change   Change         `json:"change,omitzero"`
}

// Outcome is the definite end of a command, stored under its token.
type Outcome struct {
	Token string `json:"token"`
	// Statement is the command as the operator wrote it.
	Statement string `json:"statement,omitempty"`
	// Code is resultcode.OK if the command took effect and tells otherwise why
	// it was refused.
	Code    resultcode.Code `json:"code"`
	Message string          `json:"message,omitempty"`
	// Revision is the one at which the command took effect or was refused.
	Revision fleet.Revision `json:"revision"`
}

// tokenPattern keeps tokens usable in keys and object names.
var tokenPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,128}$`)

func commandKey(token string) string { return prefixCommand + token }

// changeKey pads the revision, so that keys sort by it.
func changeKey(revision fleet.Revision) string {
	return fmt.Sprintf("%s%020d", prefixChange, uint64(revision))
}

// objectName is unique to the commit: racing commands write different objects.
func objectName(revision fleet.Revision, token string) string {
	return fmt.Sprintf("%s/%020d/%s", keyDocument, uint64(revision), token)
}
