package openai

import (
	"fmt"
	"slices"
	"strings"
)

// message is one entry of a chat.
type message struct {
	Role *string `json:"role"`
	// Content is a string or a list of parts; see completionBody.Prompt.
	Content any `json:"content"`
}

const roleAssistant = "assistant"

var roles = []string{"system", "developer", "user", roleAssistant, "tool", "function"}

// A message begins with a line that holds its role between these marks.
const (
	headerStart        = "<|"
	headerEnd          = "|>\n"
	escapedHeaderStart = `<\|`
	messageEnd         = "\n"
)

// renderMessages turns a chat into prompt text. Each message is a header line
// and its content; an open assistant header ends the text. Whatever is added to
// the end of a message or chat leaves the text before it as it was, so that
// equal beginnings share cached blocks. Content can't forge a header.
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

// text returns the content: a string, or the texts of a list of parts.
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
