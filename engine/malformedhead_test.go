package engine_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
)

// The parts of HTTP/2 that the stand-in writes (RFC 9113 and, for the fields, RFC 7541).
const (
	prefaceBytes     = 24
	frameHeaderBytes = 9
	framePayloadMax  = 1 << 14 // default limit of a frame's payload, in bytes

	frameHeaders  = 0x1
	frameSettings = 0x4

	flagEndStream  = 0x1
	flagEndHeaders = 0x4
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	header = binary.BigEndian.AppendUint32(append(header, flags), stream)
	return append(header, payload...)
}

// literalField returns a field that is encoded without compression. Name and value are
// shorter than 127 bytes.
func literalField(name, value string) []byte {
	text := "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
	return []byte(text)
}

// answerFields reads one request on a connection and answers it with the fields and
// without a body.
func answerFields(conn net.Conn, fields []byte) (err error) {
	if _, err = io.CopyN(io.Discard, conn, prefaceBytes); err != nil {
		return err
	}
	if _, err = conn.Write(frame(frameSettings, 0, 0, nil)); err != nil {
		return err
	}
	for header := make([]byte, frameHeaderBytes); ; {
		if _, err = io.ReadFull(conn, header); err != nil {
			return err
		}
		length := binary.BigEndian.Uint32(header) >> 8
		if _, err = io.CopyN(io.Discard, conn, int64(min(length, framePayloadMax))); err != nil {
			return err
		}
		if header[3] == frameHeaders {
			_, err = conn.Write(frame(frameHeaders, flagEndHeaders|flagEndStream, binary.BigEndian.Uint32(header[5:]), fields))
			if err != nil {
				return err
			}
		}
	}
}

// startFieldServer starts an engine that answers each request with the same fields.
func startFieldServer(t *testing.T, fields []byte) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = answerFields(conn, fields) // ends with the client's connection
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// TestMalformedHeads guards against an engine whose answer has the status 000 or an odd
// field name and counts as an answer. HTTP/2 and Connect reject them, without the check
// of package http1. The empty body is a valid answer to an order.
func TestMalformedHeads(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct{ name, status, field string }{
		{"sound", "200", "odd"},
		{"status 000", "000", "odd"},
		{"status 099", "099", "odd"},
		{"status 101", "101", "odd"},
		{"status 999", "999", "odd"},
		{"blank in a name", "200", "odd name"},
		{"blank after a name", "200", "odd "},
		{"NUL in a name", "200", "odd\x00name"},
		{"0x01 in a name", "200", "odd\x01name"},
		{"capital in a name", "200", "Odd"},
		{"empty name", "200", ""},
	} {
		fields := literalField(":status", c.status)
		fields = append(fields, literalField("content-type", "application/proto")...)
		fields = append(fields, literalField(c.field, "x")...)
		addr := startFieldServer(t, fields)
		client := engine.NewClient()
		orderErr := client.SendOrder(t.Context(), addr, lentilmux.Order{Model: "lentil"})
		probeErr := client.Probe(t.Context(), addr)
		fmt.Fprintf(&out, "%s: order accepted %t, probe answered %t\n", c.name, orderErr == nil, probeErr == nil)
		if (c.name == "sound") != (orderErr == nil) {
			t.Errorf("%s: order: %v", c.name, orderErr)
		}
	}
	goldie.New(t).Assert(t, "malformed_heads", []byte(out.String()))
}
