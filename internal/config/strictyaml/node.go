package strictyaml

import "github.com/goccy/go-yaml/ast"

func nodePosition(node ast.Node) Position {
	if node == nil || node.GetToken() == nil {
		return Position{Line: 1, Column: 1}
	}
	position := node.GetToken().Position
	if sequence, ok := node.(*ast.SequenceNode); ok && sequence.Start != nil {
		position = sequence.Start.Position
	}
	if entries, ok := mappingEntries(node); ok && len(entries) > 0 {
		return nodePosition(entries[0].Key)
	}
	if position == nil {
		return Position{Line: 1, Column: 1}
	}
	return Position{Line: position.Line, Column: position.Column}
}

func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

func stringValue(node ast.Node) (string, bool) {
	switch text := node.(type) {
	case *ast.StringNode:
		return text.Value, true
	case *ast.LiteralNode:
		return text.Value.Value, true
	default:
		return "", false
	}
}

// describe returns the kind of a node as text for messages.
func describe(node ast.Node) string {
	switch node.(type) {
	case nil, *ast.NullNode:
		return "nothing"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode:
		return "an anchor or alias, which isn't supported"
	case *ast.TagNode:
		return "a tag, which isn't supported"
	default:
		return "something else"
	}
}
