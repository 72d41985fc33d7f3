// Package operator implements the operators' query and command language: its
// parser, and the server and client of the Connect interface that carries
// statements.
//
// A statement queries a table, changes the configuration, or acts on the entry VM
// or its requests:
//
//	show upstreams where zone = kochi and in_flight > 2 order by in_flight desc limit 5
//	why request r-17
//	create pipeline desk model lentil-7b layers 32 on worker-1, worker-2
//	change workspace counter share 0.3 if revision 12
//	dry run remove upstream worker-9
//
// docs/LANGUAGE.md describes the complete grammar.
//
// # Usage
//
//	statement, err := operator.Parse("show vms")
//
//	path, handler := operator.NewHandler(node, keys, beginDrain)
//	mux.Handle(path, handler)
//
//	client := operator.NewClient(addrs, key, "ada", tlsConfig)
//	result, err := client.Execute(ctx, "show vms")
package operator

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/juju/errors"
)

// Statement is one parsed statement. Exactly one of the fields from Show to Set is
// set.
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
	// IfRevision makes a command apply only to this revision of the entity; 0
	// for any.
	IfRevision uint64 `parser:"('if' 'revision' @Word)?"`
}

// Show queries the rows of a table.
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

// Mark drains or excludes an upstream, or reverts that.
type Mark struct {
	Verb string `parser:"@('drain'|'undrain'|'exclude'|'include')"`
	Name string `parser:"'upstream' @(Word|String)"`
}

// Remove removes an entity.
type Remove struct {
	Entity string `parser:"@('upstream'|'pipeline'|'service'|'workspace')"`
	Name   string `parser:"@(Word|String)"`
}

// Set creates an entity (create), changes an existing one (change), or creates it
// if it does not exist and changes it otherwise (set).
type Set struct {
	Verb     string     `parser:"@('create'|'change'|'set')"`
	Entity   string     `parser:"@('upstream'|'pipeline'|'service'|'workspace')"`
	Name     string     `parser:"@(Word|String)"`
	Settings []*Setting `parser:"@@*"`
}

// Setting is a named setting with one value or a list of values.
type Setting struct {
	Pos    lexer.Position
	Name   string   `parser:"(?! 'if') @Word"`
	Values []string `parser:"@(Word|String) (',' @(Word|String))*"`
}

// parser parses one statement. Lookahead distinguishes forms that begin alike, such
// as "drain vm" and "drain upstream".
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

// ErrSyntax is the sentinel error that every [SyntaxError] wraps.
const ErrSyntax = errors.ConstError("syntax error")

// SyntaxError is an error in a statement.
type SyntaxError struct {
	Statement string
	Column    int // position of the wrong word, in characters counted from 1
	Detail    string
}

// Error returns the statement, a line with a caret under the wrong word, and the
// detail.
func (e *SyntaxError) Error() string {
	caret := strings.Repeat(" ", max(0, e.Column-1)) + "^"
	return fmt.Sprintf("%s\n%s\n%s", e.Statement, caret, e.Detail)
}

// Unwrap returns [ErrSyntax].
func (e *SyntaxError) Unwrap() error { return ErrSyntax }

// Parse parses one statement. An error is a [*SyntaxError].
func Parse(text string) (statement *Statement, err error) {
	text = strings.TrimSpace(text)
	statement, err = parser.ParseString("", text)
	if err == nil {
		return statement, nil
	}
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return nil, &SyntaxError{Statement: text, Column: parseError.Position().Column, Detail: describeParseError(text, parseError)}
	}
	return nil, &SyntaxError{Statement: text, Column: 1, Detail: err.Error()}
}

// firstWords lists the words with which a statement can begin.
var firstWords = []string{"show", "why", "stop", "export", "drain", "undrain", "exclude", "include", "remove", "create", "change", "set", "release", "dry"}

// describeParseError returns the text of a parse error for operators. For an
// unknown first word it suggests the closest one.
func describeParseError(text string, parseError participle.Error) string {
	words := strings.Fields(text)
	if len(words) == 0 {
		return "a statement is expected, such as: show upstreams"
	}
	if parseError.Position().Column == 1 {
		return fmt.Sprintf("%q begins no statement; the nearest is %q", words[0], closestName(words[0], firstWords))
	}
	if strings.Contains(parseError.Message(), "<EOF>") {
		return "the statement ends too early; " + expectedTokens(parseError.Message())
	}
	return parseError.Message()
}

// expectedTokens returns the part of a participle message that lists the expected
// tokens.
func expectedTokens(message string) string {
	_, tokens, ok := strings.Cut(message, "(expected ")
	if !ok {
		return message
	}
	return "expected " + strings.TrimSuffix(tokens, ")")
}
