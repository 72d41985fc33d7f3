package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const clientHost = "desk.example"

// client sends requests over one kept connection to a VM.
type client struct {
	d      *deployment
	vm     *vm
	conn   net.Conn
	reader *bufio.Reader
}

// sentRequest is a request that a client sent, and its answer.
type sentRequest struct {
	ID     string
	VM     string
	SentAt time.Time
	Status int // 0 without an answer
	Err    error
}

func (d *deployment) connect(v *vm) *client { return &client{d: d, vm: v} }

// do sends a request and waits for the answer. The connection is kept as long as it works.
func (c *client) do(method, target, key, body string, deadline time.Duration) (sent sentRequest) {
	sent = sentRequest{ID: c.d.newID(""), VM: c.vm.name}
	if c.conn == nil {
		if c.conn, sent.Err = net.DialTimeout("tcp", c.vm.frontend.String(), time.Second); sent.Err != nil {
			c.conn, sent.SentAt = nil, time.Now()
			c.d.record.add("client cannot connect to %s: %v", c.vm.name, sent.Err)
			return sent
		}
		c.reader = bufio.NewReader(c.conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", method, target, clientHost, sent.ID, deadline.Milliseconds(), key)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	sent.SentAt = time.Now()
	c.d.record.add("client sends %s to %s: %s %s, key %s", sent.ID, c.vm.name, method, target, key)
	if _, sent.Err = io.WriteString(c.conn, text+"\r\n"+body); sent.Err == nil {
		sent.Status, sent.Err = c.readAnswer(method)
	}
	if sent.Err != nil {
		c.close()
		c.d.record.add("client has no answer to %s: %v", sent.ID, sent.Err)
		return sent
	}
	c.d.record.add("client gets %d for %s", sent.Status, sent.ID)
	return sent
}

func (c *client) readAnswer(method string) (status int, err error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	if response.Close {
		c.close()
	}
	return response.StatusCode, nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
