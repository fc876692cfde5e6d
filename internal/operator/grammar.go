package operator

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is the syntax tree of a statement. Exactly one field besides Pos is set.
type Statement struct {
	Pos     lexer.Position
	Show    *ShowStatement    `parser:"  'show' @@"`
	Where   *WhereStatement   `parser:"| 'where' @@"`
	Explain *Word             `parser:"| 'explain' @@"`
	Lookup  *Word             `parser:"| 'lookup' @@"`
	Admit   *Word             `parser:"| 'admit' @@"`
	Drain   *Word             `parser:"| 'drain' @@"`
	Retire  *RetireStatement  `parser:"| 'retire' @@"`
	Role    *RoleStatement    `parser:"| 'role' @@"`
	Promote *VersionReference `parser:"| 'promote' @@"`
	// Apply is the YAML configuration that follows the keyword "apply". Parse sets it without the
	// grammar.
	Apply *string
}

// IsQuery reports whether the statement only reads the state of one router.
func (s *Statement) IsQuery() bool { return s.Show != nil || s.Where != nil || s.Explain != nil }

// IsReadOnly reports whether the statement changes nothing.
func (s *Statement) IsReadOnly() bool { return s.IsQuery() || s.Lookup != nil }

// Word is a bare word or quoted string with its position in the statement.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word|String)"`
}

// ShowStatement lists the rows of one table that match all filters.
type ShowStatement struct {
	Table   string    `parser:"@('engines'|'routers'|'tenants'|'models'|'directives'|'waiting'|'revision'|'version')"`
	Class   *Word     `parser:"('class' @@)?"`
	Tenant  *Word     `parser:"('tenant' @@)?"`
	Filters []*Filter `parser:"('where' @@ ('and' @@)*)?"`
}

// Filter selects the rows whose column equals or doesn't equal a value.
type Filter struct {
	Column   *Word  `parser:"@@"`
	Operator string `parser:"@('='|'!=')"`
	Value    *Word  `parser:"@@"`
}

// WhereStatement lists the engines that have a prefix in their cache. The prefix is given directly
// or by a recent request.
type WhereStatement struct {
	Prefix  *PrefixStatement `parser:"  'prefix' @@"`
	Request *Word            `parser:"| 'request' @@"`
}

// PrefixStatement identifies a prefix by block hash or by text.
type PrefixStatement struct {
	Hash *Word         `parser:"  'hash' @@"`
	Text *ScopedPrefix `parser:"| 'text' @@"`
}

// ScopedPrefix is a prefix text with the tenant and model that determine its cache scope.
type ScopedPrefix struct {
	Text   *Word `parser:"@@"`
	Tenant *Word `parser:"'tenant' @@"`
	Model  *Word `parser:"'model' @@"`
}

// RetireStatement retires an engine or a version of a model or adapter.
type RetireStatement struct {
	Version *VersionReference `parser:"  'version' @@"`
	Engine  *Word             `parser:"| @@"`
}

// RoleStatement sets the role of an engine.
type RoleStatement struct {
	Engine *Word  `parser:"@@"`
	Role   string `parser:"@('serve'|'prefill'|'decode')"`
}

// VersionReference identifies a version of a model ("model") or adapter ("model:adapter").
type VersionReference struct {
	Target  *Word `parser:"@@"`
	Version *Word `parser:"@@"`
}

var statementLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Operator", Pattern: `!=?|=`},
	{Name: "Word", Pattern: `[^\s"=!]+`},
	{Name: "Space", Pattern: `\s+`},
})

var statementParser = participle.MustBuild[Statement](
	participle.Lexer(statementLexer),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(participle.MaxLookahead),
)
