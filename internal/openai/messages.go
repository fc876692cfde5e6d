package openai

import (
	"fmt"
	"slices"
	"strings"
)

// message is one message of a chat.
type message struct {
	Role *string `json:"role"`
	// Content is a string or a list of parts. It is decoded into an interface for the same reason
	// as completionBody.Prompt.
	Content any `json:"content"`
}

const roleAssistant = "assistant"

var roles = []string{"system", "developer", "user", roleAssistant, "tool", "function"}

// Delimiters of rendered messages. Each message starts with a header line that contains its role.
const (
	headerStart        = "<|"
	headerEnd          = "|>\n"
	escapedHeaderStart = `<\|`
	messageEnd         = "\n"
)

// renderMessages renders a chat as prompt text: a header line and the content of each message, and
// a final assistant header. Extending a chat or its last message doesn't change the text before the
// extension, which lets prompts with a common beginning share cached blocks. Header delimiters in
// content are escaped.
func renderMessages(messages []message) (string, *Failure) {
	if len(messages) == 0 {
		return "", invalidParameter("messages", "messages must have at least one entry")
	}
	var text strings.Builder
	for index, message := range messages {
		param := fmt.Sprintf("messages[%d]", index)
		if message.Role == nil || !slices.Contains(roles, *message.Role) {
			return "", invalidParameter(param+".role", "role must be one of "+strings.Join(roles, ", "))
		}
		content, failure := message.text(param + ".content")
		if failure != nil {
			return "", failure
		}
		text.WriteString(headerStart + *message.Role + headerEnd)
		text.WriteString(strings.ReplaceAll(content, headerStart, escapedHeaderStart))
		text.WriteString(messageEnd)
	}
	text.WriteString(headerStart + roleAssistant + headerEnd)
	return text.String(), nil
}

// text returns the content as a string, with the texts of parts concatenated. Failures report param
// as the invalid field.
func (m message) text(param string) (string, *Failure) {
	switch content := m.Content.(type) {
	case nil:
		if *m.Role == roleAssistant {
			return "", nil
		}
		return "", invalidParameter(param, "content is required")
	case string:
		return content, nil
	case []any:
		return joinParts(content, param)
	default:
		return "", malformedBody(param, invalidContentMessage)
	}
}

const invalidContentMessage = "content must be a string or a list of text parts"

// joinParts concatenates a list of text parts.
func joinParts(parts []any, param string) (string, *Failure) {
	var joined strings.Builder
	for _, part := range parts {
		fields, isObject := part.(map[string]any)
		if !isObject {
			return "", malformedBody(param, invalidContentMessage)
		}
		text, isText := fields["text"].(string)
		if fields["type"] != "text" || !isText {
			return "", invalidParameter(param, "only text parts are supported")
		}
		joined.WriteString(text)
	}
	return joined.String(), nil
}
