package caller

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"lentilmux.example/lentilmux"
)

// writeTimeout bounds the time in which a caller must take one event.
const writeTimeout = 10 * time.Second

// answer writes one answer to its caller, streamed or whole.
type answer struct {
	w       http.ResponseWriter
	id      string
	model   string
	stream  bool
	started time.Time
	first   time.Duration // until the first token
	tokens  []string
	begun   bool
}

// emit takes the next token. A streamed one is written at once.
func (a *answer) emit(token string) (err error) {
	if len(a.tokens) == 0 {
		a.first = time.Since(a.started)
	}
	a.tokens = append(a.tokens, token)
	if !a.stream {
		return nil
	}
	return a.chunk(chatChoice{Delta: &chatMessage{Role: "assistant", Content: token}}, nil)
}

// reply returns the whole answer in the form that is kept for resends.
func (a *answer) reply(tokens []string) lentilmux.ServiceReply {
	data, err := json.Marshal(a.whole(strings.Join(tokens, ""), len(tokens)))
	if err != nil {
		return lentilmux.ServiceReply{Status: http.StatusInternalServerError}
	}
	return lentilmux.ServiceReply{Status: http.StatusOK, ContentType: "application/json", Body: data}
}

// whole returns the answer as one object.
func (a *answer) whole(text string, tokens int) chatReply {
	stop := "stop"
	return chatReply{
		ID: a.id, Object: "chat.completion", Created: a.started.Unix(), Model: a.model,
		Choices: []chatChoice{{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &stop}},
		Usage:   &chatUsage{CompletionTokens: tokens},
	}
}

// finish ends an answer that is whole: a stream gets its end mark with the
// number of tokens.
func (a *answer) finish() {
	if !a.stream {
		writeJSON(a.w, http.StatusOK, a.whole(strings.Join(a.tokens, ""), len(a.tokens)))
		return
	}
	stop := "stop"
	if a.chunk(chatChoice{Delta: &chatMessage{}, FinishReason: &stop}, &chatUsage{CompletionTokens: len(a.tokens)}) == nil {
		_ = a.event("", []byte("[DONE]")) // the caller has gone if this fails
	}
}

// remembered writes the reply of an earlier request with the same key.
func (a *answer) remembered(reply lentilmux.ServiceReply) {
	if !a.stream {
		writeReply(a.w, reply)
		return
	}
	var whole chatReply
	if err := json.Unmarshal(reply.Body, &whole); err != nil || len(whole.Choices) == 0 || whole.Choices[0].Message == nil {
		a.fail(&lentilmux.Refusal{Outcome: lentilmux.OutcomeAnswered, Reason: lentilmux.ReasonAnswerTooLarge, Detail: "the answer was not kept as a stream"})
		return
	}
	if a.emit(whole.Choices[0].Message.Content) == nil {
		a.finish()
	}
}

// fail ends an answer that is not whole. A stream that has begun gets an error
// event and no end mark.
func (a *answer) fail(err error) {
	if !a.begun {
		writeError(a.w, err)
		return
	}
	data, marshalErr := json.Marshal(detailOf(refusalOf(err)))
	if marshalErr == nil {
		_ = a.event("error", data) // the caller has gone if this fails
	}
}

// chunk writes one object of a stream.
func (a *answer) chunk(choice chatChoice, usage *chatUsage) (err error) {
	data, err := json.Marshal(chatReply{
		ID: a.id, Object: "chat.completion.chunk", Created: a.started.Unix(), Model: a.model,
		Choices: []chatChoice{choice}, Usage: usage,
	})
	if err != nil {
		return err
	}
	return a.event("", data)
}

// event writes one server-sent event and flushes it.
func (a *answer) event(name string, data []byte) (err error) {
	if !a.begun {
		a.begun = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.w.WriteHeader(http.StatusOK)
	}
	controller := http.NewResponseController(a.w)
	// Without deadlines (as over a pipe in memory) the server's own hold.
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	text := "data: " + string(data) + "\n\n"
	if name != "" {
		text = "event: " + name + "\n" + text
	}
	if _, err := a.w.Write([]byte(text)); err != nil {
		return err
	}
	return controller.Flush()
}
