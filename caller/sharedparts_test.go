package caller

import "testing"

// TestSharedParts guards against a crash that cannot be blamed on a message that
// unlike chats share: equal messages must give equal parts, the last message none.
func TestSharedParts(t *testing.T) {
	rules, question := chatMessage{Role: "system", Content: "be brief"}, chatMessage{Role: "user", Content: "why?"}
	first := sharedParts("lentil", []chatMessage{rules, question})
	second := sharedParts("lentil", []chatMessage{rules, question, {Role: "user", Content: "and then?"}})
	if len(first) != 1 || len(second) != 2 || first[0] != second[0] || second[0] == second[1] {
		t.Errorf("got parts %v and %v; expected one and two, the first the same", first, second)
	}
	if parts := sharedParts("lentil", []chatMessage{question}); len(parts) != 0 {
		t.Errorf("got parts %v of a single message; expected none", parts)
	}
	if parts := sharedParts("other", []chatMessage{rules, question}); parts[0] == first[0] {
		t.Error("another model has the same part")
	}
}
