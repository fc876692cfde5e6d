package operator

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is the syntax tree of one statement; exactly one field besides
// Pos is set.
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
	// Apply holds a whole YAML configuration. The rest of the statement after
	// the keyword is YAML, which this grammar doesn't describe.
	Apply *string
}

// IsQuery tells whether the statement only reads one router's view.
func (s *Statement) IsQuery() bool { return s.Show != nil || s.Where != nil || s.Explain != nil }

// IsReadOnly tells whether the statement changes nothing.
func (s *Statement) IsReadOnly() bool { return s.IsQuery() || s.Lookup != nil }

// Word is a name with its place in the statement.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word|String)"`
}

// ShowStatement lists one table.
type ShowStatement struct {
	Table   string    `parser:"@('engines'|'routers'|'tenants'|'models'|'directives'|'waiting'|'revision'|'version')"`
	Class   *Word     `parser:"('class' @@)?"`
	Tenant  *Word     `parser:"('tenant' @@)?"`
	Filters []*Filter `parser:"('where' @@ ('and' @@)*)?"`
}

// Filter keeps the rows whose column has, or hasn't, a value.
type Filter struct {
	Column   *Word  `parser:"@@"`
	Operator string `parser:"@('='|'!=')"`
	Value    *Word  `parser:"@@"`
}

// WhereStatement asks which engines hold a prefix.
type WhereStatement struct {
	Prefix  *PrefixStatement `parser:"  'prefix' @@"`
	Request *Word            `parser:"| 'request' @@"`
}

// PrefixStatement names a prefix by block hash or by text.
type PrefixStatement struct {
	Hash *Word         `parser:"  'hash' @@"`
	Text *ScopedPrefix `parser:"| 'text' @@"`
}

// ScopedPrefix is a prefix text with the scope that it is hashed in.
type ScopedPrefix struct {
	Text   *Word `parser:"@@"`
	Tenant *Word `parser:"'tenant' @@"`
	Model  *Word `parser:"'model' @@"`
}

// RetireStatement retires an engine or a version.
type RetireStatement struct {
	Version *VersionReference `parser:"  'version' @@"`
	Engine  *Word             `parser:"| @@"`
}

// RoleStatement changes the role of an engine.
type RoleStatement struct {
	Engine *Word  `parser:"@@"`
	Role   string `parser:"@('serve'|'prefill'|'decode')"`
}

// VersionReference names one version of a model or adapter.
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
