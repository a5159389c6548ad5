package main

import (
	"bufio"
	"strings"
	"testing"
)

// TestMessagesEndAtCRLF guards against stand-ins that end a message at a line feed alone and so hide that a program does.
func TestMessagesEndAtCRLF(t *testing.T) {
	long := strings.Repeat("x\n", 5000)
	want := []string{"WRITE 1 a\nb", "", "\n", "a\n\rb\r", long, "end"}
	r := bufio.NewReader(strings.NewReader(strings.Join(want, "\r\n") + "\r\n"))
	for _, w := range want {
		if got, err := readMessage(r); err != nil || got != w {
			t.Fatalf("got %.40q, %v, want %.40q", got, err, w)
		}
	}
	if message, err := readMessage(r); err == nil {
		t.Errorf("got %q after the end", message)
	}
	if _, err := readMessage(bufio.NewReader(strings.NewReader("cut off\n"))); err == nil {
		t.Error("a message without CR LF is taken for a whole one")
	}
	if _, err := readMessage(bufio.NewReader(strings.NewReader(strings.Repeat("\n", maxMessageBytes+10)))); err == nil {
		t.Error("a message over 1 MiB is read")
	}
}
