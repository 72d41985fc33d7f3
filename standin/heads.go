package standin

import "strings"

// fieldsMark stands for the fields that an upstream sends in each of its answers.
const fieldsMark = "{fields}"

// rawBody is the body of the answers with a [RawHead].
const rawBody = "OK"

// RawHead is the beginning of an answer: its head with the empty line, and in some cases
// chunks after it.
type RawHead struct {
	Name  string
	Text  string // with fieldsMark
	Sound bool   // whether it is valid HTTP/1.1
}

// Answer returns an answer with the head, further fields in it, each with its CRLF, and
// the body "OK".
func (h RawHead) Answer(fields string) string {
	return strings.ReplaceAll(h.Text, fieldsMark, fields) + rawBody
}

// RawHeads are heads that an upstream in trouble may send, and sound ones that look like
// them.
var RawHeads = []RawHead{
	{Name: "sound", Text: sizedHead("200 OK", ""), Sound: true},
	{Name: "sound without a reason", Text: sizedHead("200", ""), Sound: true},
	{Name: "sound with an empty reason", Text: sizedHead("200 ", ""), Sound: true},
	{Name: "sound with line feeds alone", Text: strings.ReplaceAll(sizedHead("200 OK", ""), "\r\n", "\n"), Sound: true},
	{Name: "sound with odd values", Text: sizedHead("200 OK", "X:\r\nX-A: a\tb \r\nX-B:\xe9\r\n"), Sound: true},
	{Name: "sound with all characters of names", Text: sizedHead("200 OK", "!#$%&'*+-.^_`|~09azAZ: x\r\n"), Sound: true},
	{Name: "sound after interim answers", Text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\n" + sizedHead("200 OK", ""), Sound: true},
	{Name: "sound of HTTP/1.0", Text: strings.Replace(sizedHead("200 OK", ""), "1.1", "1.0", 1), Sound: true},
	{Name: "sound without a length", Text: "HTTP/1.1 200 OK\r\n" + fieldsMark + "\r\n", Sound: true},
	{Name: "sound 500", Text: sizedHead("500 Oops", ""), Sound: true},

	{Name: "status 000", Text: sizedHead("000 OK", "")},
	{Name: "status 000 without a length", Text: "HTTP/1.1 000 OK\r\n" + fieldsMark + "\r\n"},
	{Name: "status 099", Text: sizedHead("099 OK", "")},
	{Name: "status 101", Text: sizedHead("101 Switching", "Upgrade: x\r\nConnection: Upgrade\r\n")},
	{Name: "status 600", Text: sizedHead("600 OK", "")},
	{Name: "status 999", Text: sizedHead("999 OK", "")},
	{Name: "status +20", Text: sizedHead("+20 OK", "")},
	{Name: "status -00", Text: sizedHead("-00 OK", "")},
	{Name: "status of two digits", Text: sizedHead("20 OK", "")},
	{Name: "status of four digits", Text: sizedHead("2000 OK", "")},
	{Name: "status of letters", Text: sizedHead("2OO OK", "")},
	{Name: "status after two blanks", Text: sizedHead(" 200 OK", "")},
	{Name: "status before a tab", Text: sizedHead("200\tOK", "")},
	{Name: "no status", Text: sizedHead("", "")},
	{Name: "NUL in the reason", Text: sizedHead("200 O\x00K", "")},
	{Name: "CR in the reason", Text: sizedHead("200 O\rK", "")},
	{Name: "version 2.0", Text: strings.Replace(sizedHead("200 OK", ""), "1.1", "2.0", 1)},
	{Name: "version 1.10", Text: strings.Replace(sizedHead("200 OK", ""), "1.1", "1.10", 1)},
	{Name: "another protocol", Text: strings.Replace(sizedHead("200 OK", ""), "HTTP", "http", 1)},
	{Name: "status 000 after an interim answer", Text: "HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + sizedHead("000 OK", "")},
	{Name: "status 099 before an answer", Text: "HTTP/1.1 099 Early\r\n\r\n" + sizedHead("200 OK", "")},

	{Name: "blank in a name", Text: sizedHead("200 OK", "Odd Name: x\r\n")},
	{Name: "blank in a name of a 500", Text: sizedHead("500 Oops", "Odd Name: x\r\n")},
	{Name: "blank after a name", Text: sizedHead("200 OK", "Odd : x\r\n")},
	{Name: "blank before a name", Text: sizedHead("200 OK", "X: y\r\n Odd: x\r\n")},
	{Name: "blank before the first name", Text: "HTTP/1.1 200 OK\r\n Odd: x\r\n" + fieldsMark + "Content-Length: 2\r\n\r\n"},
	{Name: "line of blanks", Text: sizedHead("200 OK", "X: y\r\n \r\n")},
	{Name: "tab in a name", Text: sizedHead("200 OK", "Odd\tName: x\r\n")},
	{Name: "tab after a name", Text: sizedHead("200 OK", "Odd\t: x\r\n")},
	{Name: "tab before a name", Text: sizedHead("200 OK", "X: y\r\n\tOdd: x\r\n")},
	{Name: "NUL in a name", Text: sizedHead("200 OK", "Odd\x00Name: x\r\n")},
	{Name: "0x01 in a name", Text: sizedHead("200 OK", "Odd\x01Name: x\r\n")},
	{Name: "DEL in a name", Text: sizedHead("200 OK", "Odd\x7fName: x\r\n")},
	{Name: "CR in a name", Text: sizedHead("200 OK", "Odd\rName: x\r\n")},
	{Name: "0xe9 in a name", Text: sizedHead("200 OK", "Odd\xe9Name: x\r\n")},
	{Name: "bracket in a name", Text: sizedHead("200 OK", "Odd(Name: x\r\n")},
	{Name: "empty name", Text: sizedHead("200 OK", ": x\r\n")},
	{Name: "no colon", Text: sizedHead("200 OK", "Odd\r\n")},
	{Name: "NUL in a value", Text: sizedHead("200 OK", "X: a\x00b\r\n")},
	{Name: "CR in a value", Text: sizedHead("200 OK", "X: a\rb\r\n")},

	{Name: "blank after Content-Length", Text: "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Length : 1\r\n\r\n"},
	{Name: "blank before Content-Length", Text: "HTTP/1.1 200 OK\r\n" + fieldsMark + "X: y\r\n Content-Length: 1\r\n\r\n"},
	{Name: "Content-Length without its name", Text: "HTTP/1.1 200 OK\r\n" + fieldsMark + ": 1\r\n\r\n"},
	{Name: "blank after Transfer-Encoding", Text: sizedHead("200 OK", "Transfer-Encoding : chunked\r\n")},

	{Name: "chunks in HTTP/1.0", Text: "HTTP/1.0 200 OK\r\n" + fieldsMark + "Transfer-Encoding: chunked\r\n\r\n2\r\nOK\r\n0\r\n\r\n"},
	{Name: "chunks and a length", Text: sizedHead("200 OK", "transfer-ENCODING: chunked\r\n") + "2\r\nOK\r\n0\r\n\r\n"},

	{Name: "blank in a name of an interim answer", Text: "HTTP/1.1 100 Continue\r\nOdd Name: x\r\n\r\n" + sizedHead("200 OK", "")},
	{Name: "blank in a name after an interim answer", Text: "HTTP/1.1 103 Early\r\nX: y\r\n\r\n" + sizedHead("200 OK", "Odd Name: x\r\n")},
}

// sizedHead returns a head with a status, further fields and the length of rawBody.
func sizedHead(status, fields string) string {
	return "HTTP/1.1 " + status + "\r\n" + fieldsMark + fields + "Content-Length: 2\r\n\r\n"
}
