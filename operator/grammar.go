// Package operator speaks to operators: it parses their query and command
// language, and serves and calls the Connect interface that carries it.
//
// A statement either asks about a table or changes the configuration:
//
//	show upstreams where zone = kochi and in_flight > 2 order by in_flight desc limit 5
//	why request r-17
//	create pipeline desk model lentil-7b layers 32 on worker-1, worker-2
//	change workspace counter share 0.3 if revision 12
//	dry run remove upstream worker-9
//
// docs/LANGUAGE.md has the whole grammar.
//
// # Usage
//
//	statement, err := operator.Parse("show vms")
//
//	path, handler := operator.NewHandler(node, keys)
//	mux.Handle(path, handler)
package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/juju/errors"
)

// Statement is one parsed statement. Exactly one of its forms is set.
type Statement struct {
	DryRun  bool    `parser:"@('dry' 'run')?"`
	Show    *Show   `parser:"( 'show' @@"`
	Why     string  `parser:"| 'why' 'request' @(Word|String)"`
	Stop    string  `parser:"| 'stop' 'request' @(Word|String)"`
	Release string  `parser:"| 'release' 'fingerprint' @(Word|String)"`
	Export  bool    `parser:"| @'export'"`
	DrainVM bool    `parser:"| @('drain' 'vm')"`
	Mark    *Mark   `parser:"| @@"`
	Remove  *Remove `parser:"| 'remove' @@"`
	Set     *Set    `parser:"| @@ )"`
	// IfRevision makes a command apply only to that revision of the entity.
	IfRevision uint64 `parser:"('if' 'revision' @Word)?"`
}

// Show asks for the rows of a table.
type Show struct {
	Table   string       `parser:"@Word"`
	Where   []*Condition `parser:"('where' @@ ('and' @@)*)?"`
	OrderBy string       `parser:"('order' 'by' @Word"`
	Desc    bool         `parser:" @'desc'?)?"`
	Limit   int          `parser:"('limit' @Word)?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column string `parser:"@Word"`
	Op     string `parser:"@Op"`
	Value  string `parser:"@(Word|String)"`
}

// Mark drains or excludes an upstream, or undoes it.
type Mark struct {
	Verb string `parser:"@('drain'|'undrain'|'exclude'|'include')"`
	Name string `parser:"'upstream' @(Word|String)"`
}

// Remove removes an entity.
type Remove struct {
	Entity string `parser:"@('upstream'|'pipeline'|'service'|'workspace')"`
	Name   string `parser:"@(Word|String)"`
}

// Set creates an entity, changes one that exists, or does whichever fits.
type Set struct {
	Verb     string     `parser:"@('create'|'change'|'set')"`
	Entity   string     `parser:"@('upstream'|'pipeline'|'service'|'workspace')"`
	Name     string     `parser:"@(Word|String)"`
	Settings []*Setting `parser:"@@*"`
}

// Setting is a named setting with one value or a list of them.
type Setting struct {
	Pos    lexer.Position
	Name   string   `parser:"(?! 'if') @Word"`
	Values []string `parser:"@(Word|String) (',' @(Word|String))*"`
}

var parser = participle.MustBuild[Statement](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `#[^\n]*`},
		{Name: "Whitespace", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\"|[^"])*"`},
		{Name: "Op", Pattern: `!=|<=|>=|=|<|>`},
		{Name: "Comma", Pattern: `,`},
		{Name: "Word", Pattern: `[^\s",=<>!#]+`},
	})),
	participle.Elide("Whitespace", "Comment"),
	participle.Unquote("String"),
	participle.UseLookahead(3),
)

// ErrSyntax is the sentinel behind every [SyntaxError].
const ErrSyntax = errors.ConstError("syntax error")

// SyntaxError is a mistake in a statement. Column counts bytes from 1.
type SyntaxError struct {
	Statement string
	Column    int
	Detail    string
}

// Error returns the statement with a mark under the word that is wrong.
func (e *SyntaxError) Error() string {
	mark := strings.Repeat(" ", max(0, e.Column-1)) + "^"
	return fmt.Sprintf("%s\n%s\n%s", e.Statement, mark, e.Detail)
}

// Unwrap makes errors.Is(err, ErrSyntax) hold.
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

// Parse reads one statement. A mistake is a [*SyntaxError].
func Parse(text string) (statement *Statement, err error) {
	text = strings.TrimSpace(text)
	statement, err = parser.ParseString("", text)
	if err == nil {
		return statement, nil
	}
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return nil, &SyntaxError{Statement: text, Column: parseError.Position().Column, Detail: hint(text, parseError)}
	}
	return nil, &SyntaxError{Statement: text, Column: 1, Detail: err.Error()}
}

// firstWords are the words with which a statement can begin.
var firstWords = []string{"show", "why", "stop", "export", "drain", "undrain", "exclude", "include", "remove", "create", "change", "set", "release", "dry"}

// hint explains a mistake. For an unknown first word it names the nearest.
func hint(text string, parseError participle.Error) string {
	fields := strings.Fields(text)
	if len(fields) == 0 {
		return "a statement is expected, such as: show upstreams"
	}
	if parseError.Position().Column == 1 {
		return fmt.Sprintf("%q begins no statement; the nearest is %q", fields[0], nearest(fields[0], firstWords))
	}
	if strings.Contains(parseError.Message(), "<EOF>") {
		return "the statement ends too early; " + expected(parseError.Message())
	}
	return parseError.Message()
}

// expected returns the part of a message that tells what would fit.
func expected(message string) string {
	_, rest, ok := strings.Cut(message, "(expected ")
	if !ok {
		return message
	}
	return "expected " + strings.TrimSuffix(rest, ")")
}
