package main

import "testing"

// Guards against a cut stream that the demo calls whole.
func TestStreamText(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"a b"}}]}` + "\n\n"
	const finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	if got, err := streamText(text + finish + "data: [DONE]\n\n"); err != nil || got != "a b" {
		t.Errorf("%q, %v", got, err)
	}
	for _, cut := range []string{"", text, text + finish, text + "data: [DONE]\n", "data: {\n"} {
		if _, err := streamText(cut); err == nil {
			t.Errorf("%q was called whole", cut)
		}
	}
}
