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

// chatReply is a complete response, or one chunk of a response stream.
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

// readBody reads the request body, limited to maxBodyBytes and bodyReadTimeout. An
// error is a [*lentilmux.Refusal].
func readBody(w http.ResponseWriter, r *http.Request) (body []byte, err error) {
	controller := http.NewResponseController(w)
	// A connection without deadlines, such as a pipe in memory, returns an error
	// here; then only the server's timeouts apply.
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, badRequest(lentilmux.ReasonBodyTooLarge, "the body has more than %d bytes", maxBodyBytes)
	case err != nil:
		return nil, badRequest(reasonInvalid, "the body did not arrive whole: %v", err)
	}
	return body, nil
}

// readChatRequest reads and validates a chat request. An error is a
// [*lentilmux.Refusal].
func readChatRequest(w http.ResponseWriter, r *http.Request) (chat chatRequest, err error) {
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
	case chat.MaxTokens < 0 || chat.MaxTokens > maxCompletionTokens:
		return chatRequest{}, badRequest(reasonInvalid, "max_tokens must be from 1 to %d, not %d", maxCompletionTokens, chat.MaxTokens)
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = defaultCompletionTokens
	}
	return chat, nil
}

// joinMessages joins the messages into the model's prompt, one line for each.
func joinMessages(messages []chatMessage) string {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.Role)
		text.WriteString(": ")
		text.WriteString(m.Content)
		text.WriteString("\n")
	}
	return text.String()
}

// sharedParts returns the messages that other requests may share: all but the
// last one, at most [lentilmux.MaxSharedParts].
func sharedParts(model string, messages []chatMessage) (parts []lentilmux.PromptPart) {
	for _, m := range messages[:min(len(messages)-1, lentilmux.MaxSharedParts)] {
		parts = append(parts, lentilmux.PromptPart(lentilmux.ComputeFingerprint(model, m.Role, m.Content)))
	}
	return parts
}

// handleChat serves POST /v1/chat/completions.
func (h *Handler) handleChat(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	chat, err := readChatRequest(w, r)
	if err != nil {
		h.rejectChat(w, startedAt, err)
		return
	}
	request, err := h.newRequest(r)
	if err != nil {
		h.rejectChat(w, startedAt, err)
		return
	}
	prompt := joinMessages(chat.Messages)
	request.Model = chat.Model
	request.MaxTokens = chat.MaxTokens
	request.Fingerprint = lentilmux.ComputeFingerprint(request.Workspace, chat.Model, prompt)
	request.SharedParts = sharedParts(chat.Model, chat.Messages)
	request.Prefix = lentilmux.ComputePrefixFingerprint(chat.Model, prompt)
	w.Header().Set(RequestIDHeader, string(request.ID))
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	response := &chatResponseWriter{w: w, requestID: string(request.ID), model: chat.Model, streamed: chat.Stream, startedAt: startedAt}
	result, err := h.config.Relay.Generate(ctx, request, engine.Prompt{Text: prompt, MaxTokens: chat.MaxTokens}, response.emit, response.storedReply)
	switch {
	case err != nil:
		response.fail(err)
	case result.StoredReply != nil:
		response.writeStored(*result.StoredReply)
	default:
		response.finish()
	}
	h.observeChat(startedAt, response.timeToFirstToken, result.Tokens, err)
	if response.broken {
		BreakResponse(w, r)
	}
}

// rejectChat answers an invalid chat request with err.
func (h *Handler) rejectChat(w http.ResponseWriter, startedAt time.Time, err error) {
	writeError(w, err)
	h.observeChat(startedAt, 0, 0, err)
}

// observeChat passes the measurements of a finished chat request to
// Config.Observe.
func (h *Handler) observeChat(startedAt time.Time, timeToFirstToken time.Duration, tokens int, err error) {
	o := Observation{Outcome: lentilmux.OutcomeAnswered, Duration: time.Since(startedAt), TimeToFirstToken: timeToFirstToken, Tokens: tokens}
	if err != nil {
		refusal := toRefusal(err)
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

// handleModels serves GET /v1/models.
func (h *Handler) handleModels(w http.ResponseWriter, r *http.Request) {
	status, err := h.nodeStatus(r.Context())
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
