package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"lentilmux.example/lentilmux"
	"lentilmux.example/lentilmux/engine"
)

// chatRequest is the body of POST /v1/chat/completions.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatReply is a whole answer.
type chatReply struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// readBody reads the whole body within its bounds of size and time.
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	controller := http.NewResponseController(w)
	// Without deadlines (as over a pipe in memory) the server's own hold.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, badRequest(reasonTooLarge, "the body has more than %d bytes", bodyMost)
	case err != nil:
		return nil, badRequest(reasonInvalid, "the body did not arrive whole: %v", err)
	}
	return body, nil
}

// readChat reads and checks a request for an answer.
func readChat(w http.ResponseWriter, r *http.Request) (chat chatRequest, err error) {
	body, err := readBody(w, r)
	if err != nil {
		return chatRequest{}, err
	}
	if !utf8.Valid(body) {
		return chatRequest{}, badRequest(reasonInvalid, "the body is not valid UTF-8")
	}
	if err := json.Unmarshal(body, &chat); err != nil {
		return chatRequest{}, badRequest(reasonInvalid, "the body is not the JSON of a chat request: %v", err)
	}
	switch {
	case chat.Model == "":
		return chatRequest{}, badRequest(reasonInvalid, "model must name a model")
	case len(chat.Messages) == 0:
		return chatRequest{}, badRequest(reasonInvalid, "messages must hold at least one message")
	case chat.MaxTokens < 0 || chat.MaxTokens > tokensMost:
		return chatRequest{}, badRequest(reasonInvalid, "max_tokens must be from 1 to %d, not %d", tokensMost, chat.MaxTokens)
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = defaultTokens
	}
	return chat, nil
}

// promptOf joins the messages to the text that the model reads.
func promptOf(messages []chatMessage) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	chat, err := readChat(w, r)
	if err != nil {
		h.reject(w, started, err)
		return
	}
	request, err := h.newRequest(r)
	if err != nil {
		h.reject(w, started, err)
		return
	}
	prompt := promptOf(chat.Messages)
	request.Model = chat.Model
	request.MaxTokens = chat.MaxTokens
	request.Fingerprint = lentilmux.ComputeFingerprint(request.Workspace, chat.Model, prompt)
	request.Prefix = lentilmux.ComputePrefixFingerprint(chat.Model, prompt)
	w.Header().Set(RequestIDHeader, string(request.ID))
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	answer := &answer{w: w, id: string(request.ID), model: chat.Model, stream: chat.Stream, started: started}
	result, err := h.config.Relay.Answer(ctx, request, engine.Prompt{Text: prompt, MaxTokens: chat.MaxTokens}, answer.emit, answer.reply)
	switch {
	case err != nil:
		answer.fail(err)
	case result.StoredReply != nil:
		answer.remembered(*result.StoredReply)
	default:
		answer.finish()
	}
	h.observe(started, answer.first, result.Tokens, err)
}

// reject answers a request that was not understood.
func (h *Handler) reject(w http.ResponseWriter, started time.Time, err error) {
	writeError(w, err)
	h.observe(started, 0, 0, err)
}

// observe hands a finished answer to the metrics.
func (h *Handler) observe(started time.Time, first time.Duration, tokens int, err error) {
	o := Observation{Outcome: lentilmux.OutcomeAnswered, Duration: time.Since(started), TimeToFirstToken: first, Tokens: tokens}
	if err != nil {
		refusal := refusalOf(err)
		o.Outcome, o.Reason = refusal.Outcome, refusal.Reason
	}
	h.config.Observe(o)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// models serves GET /v1/models.
func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	status, err := h.status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, model := range status.Models {
		list.Data = append(list.Data, modelItem{ID: model, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}
