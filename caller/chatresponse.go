package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// writeTimeout bounds the write of one event, for callers that read slowly or not
// at all.
const writeTimeout = 10 * time.Second

// chatResponseWriter writes the response to a chat request, either as a stream of
// server-sent events or as one JSON object.
type chatResponseWriter struct {
	w                http.ResponseWriter
	requestID        string
	model            string
	streamed         bool
	startedAt        time.Time
	timeToFirstToken time.Duration // zero before the first token
	tokens           []string
	headerSent       bool
	broken           bool // whether a stream ends without being complete
}

// emit adds the next token; it is the [engine.EmitFunc] of the response. In a
// stream the token is written immediately, otherwise finish writes all tokens.
func (c *chatResponseWriter) emit(token string) (err error) {
	if len(c.tokens) == 0 {
		c.timeToFirstToken = time.Since(c.startedAt)
	}
	c.tokens = append(c.tokens, token)
	if !c.streamed {
		return nil
	}
	return c.writeChunk(chatChoice{Delta: &chatMessage{Role: "assistant", Content: token}}, nil)
}

// storedReply returns the complete response as the reply that is stored for
// resends with the same idempotency key.
func (c *chatResponseWriter) storedReply(tokens []string) lentilmux.ServiceReply {
	data, err := json.Marshal(c.completion(strings.Join(tokens, ""), len(tokens)))
	if err != nil {
		return lentilmux.ServiceReply{Status: http.StatusInternalServerError}
	}
	return lentilmux.ServiceReply{Status: http.StatusOK, ContentType: "application/json", Body: data}
}

// completion returns the complete response as one object.
func (c *chatResponseWriter) completion(text string, tokens int) chatReply {
	finishReason := "stop"
	return chatReply{
		ID: c.requestID, Object: "chat.completion", Created: c.startedAt.Unix(), Model: c.model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &finishReason}},
		Usage:   &chatUsage{CompletionTokens: tokens},
	}
}

// finish ends a response that is complete. A stream gets a last chunk with the
// number of tokens, and the event [DONE].
func (c *chatResponseWriter) finish() {
	if !c.streamed {
		writeJSON(c.w, http.StatusOK, c.completion(strings.Join(c.tokens, ""), len(c.tokens)))
		return
	}
	finishReason := "stop"
	if c.writeChunk(chatChoice{Delta: &chatMessage{}, FinishReason: &finishReason}, &chatUsage{CompletionTokens: len(c.tokens)}) == nil {
		_ = c.writeEvent("", []byte("[DONE]")) // fails only if the caller has disconnected
	}
}

// writeStored writes the stored reply to an earlier request with the same
// idempotency key. A stream gets the complete text as one chunk.
func (c *chatResponseWriter) writeStored(reply lentilmux.ServiceReply) {
	if !c.streamed {
		writeReply(c.w, reply)
		return
	}
	var stored chatReply
	if err := json.Unmarshal(reply.Body, &stored); err != nil || len(stored.Choices) == 0 || stored.Choices[0].Message == nil {
		c.fail(&lentilmux.Refusal{Outcome: lentilmux.OutcomeAnswered, Reason: lentilmux.ReasonAnswerTooLarge, Detail: "the answer was not kept as a stream"})
		return
	}
	if c.emit(stored.Choices[0].Message.Content) == nil {
		c.finish()
	}
}

// fail ends a response that is not complete. A stream whose header has been sent
// gets an error event instead of [DONE], after which its connection has to be
// broken; any other response gets an error status.
func (c *chatResponseWriter) fail(err error) {
	if !c.headerSent {
		writeError(c.w, err)
		return
	}
	c.broken = true
	data, marshalErr := json.Marshal(newErrorReply(toRefusal(err)))
	if marshalErr == nil {
		_ = c.writeEvent("error", data) // fails only if the caller has disconnected
	}
}

// writeChunk writes one chunk of a response stream.
func (c *chatResponseWriter) writeChunk(choice chatChoice, usage *chatUsage) (err error) {
	data, err := json.Marshal(chatReply{
		ID: c.requestID, Object: "chat.completion.chunk", Created: c.startedAt.Unix(), Model: c.model,
		Choices: []chatChoice{choice}, Usage: usage,
	})
	if err != nil {
		return err
	}
	return c.writeEvent("", data)
}

// writeEvent writes one server-sent event and flushes it. The first event is
// preceded by the response header.
func (c *chatResponseWriter) writeEvent(name string, data []byte) (err error) {
	if !c.headerSent {
		c.headerSent = true
		c.w.Header().Set("Content-Type", "text/event-stream")
		c.w.Header().Set("Cache-Control", "no-store")
		c.w.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(c.w)
	// A connection without deadlines, such as a pipe in memory, returns an error
	// here; then only the server's timeouts apply.
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := "data: " + string(data) + "\n\n"
	if name != "" {
		text = "event: " + name + "\n" + text
	}
	if _, err := c.w.Write([]byte(text)); err != nil {
		return err
	}
	return controller.Flush()
}
