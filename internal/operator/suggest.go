package operator

import "strings"

// keywordsAfter maps a keyword to the keywords that may directly follow it.
var keywordsAfter = map[string][]string{
	"":        {"show", "where", "explain", "lookup", "admit", "drain", "retire", "role", "promote", applyKeyword},
	"show":    {"engines", "routers", "tenants", "models", "directives", "waiting", "revision", "version"},
	"where":   {"prefix", "request"},
	"prefix":  {"hash", "text"},
	"waiting": {"class", "tenant", "where"},
}

// expectedKeywords returns the keywords that are valid after the text before an invalid word. The
// result is empty where a name is expected.
func expectedKeywords(before string) []string {
	words := splitWords(before)
	if len(words) == 0 {
		return keywordsAfter[""]
	}
	switch words[0] {
	case "show":
		return expectedInShow(words)
	case "where":
		return expectedInWhere(words)
	case "role":
		if len(words) == 2 {
			return []string{"serve", "prefill", "decode"}
		}
	}
	return nil
}

// expectedInShow returns the keywords that are valid after words in a "show" statement.
func expectedInShow(words []string) []string {
	if len(words) == 1 {
		return keywordsAfter["show"]
	}
	for position, word := range words {
		if position >= 2 && word == "where" {
			return expectedInFilter(len(words) - position - 1)
		}
	}
	if words[1] == "waiting" {
		return keywordsAfter["waiting"]
	}
	return []string{"where"}
}

// expectedInFilter returns the keywords and operators that are valid after count words of a filter
// list.
func expectedInFilter(count int) []string {
	const wordsPerFilter = 4 // column, operator, value, "and"
	switch count % wordsPerFilter {
	case 1:
		return []string{"=", "!="}
	case 3:
		return []string{"and"}
	}
	return nil
}

// expectedInWhere returns the keywords that are valid after words in a "where" statement.
func expectedInWhere(words []string) []string {
	switch len(words) {
	case 1, 2:
		return keywordsAfter[words[len(words)-1]]
	case 4:
		return []string{"tenant"}
	case 6:
		return []string{"model"}
	}
	return nil
}

// splitWords returns the tokens of the text up to the first lexical error, without whitespace. A
// quoted string is one word.
func splitWords(text string) []string {
	scanner, err := statementLexer.LexString("", text)
	if err != nil {
		return nil
	}
	space := statementLexer.Symbols()["Space"]
	var words []string
	for {
		token, err := scanner.Next()
		if err != nil || token.EOF() {
			return words
		}
		if token.Type != space {
			words = append(words, token.Value)
		}
	}
}

// maxSuggestionDistance is the maximum edit distance of a suggestion.
const maxSuggestionDistance = 2

// closestMatch returns the candidate with the smallest edit distance to word, or "" if none is
// within maxSuggestionDistance.
func closestMatch(word string, candidates []string) string {
	best, bestDistance := "", maxSuggestionDistance+1
	for _, candidate := range candidates {
		if len(word) > len(candidate)+maxSuggestionDistance {
			continue
		}
		distance := editDistance(strings.ToLower(word), candidate)
		if distance < bestDistance && distance < len(candidate) {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes.
func editDistance(left, right string) int {
	previous := make([]int, len(right)+1)
	for column := range previous {
		previous[column] = column
	}
	for row := range len(left) {
		current := make([]int, len(right)+1)
		current[0] = row + 1
		for column := range len(right) {
			substitution := previous[column]
			if left[row] != right[column] {
				substitution++
			}
			current[column+1] = min(substitution, previous[column+1]+1, current[column]+1)
		}
		previous = current
	}
	return previous[len(right)]
}
