package lsn

import (
	"fmt"
	"strconv"
	"strings"
)

const halfBits = 32

// Parse returns the byte offset that text represents.
func Parse(text string) (uint64, error) {
	high, low, ok := strings.Cut(text, "/")
	if !ok {
		return 0, fmt.Errorf("log position %q has no slash", text)
	}
	h, err := strconv.ParseUint(high, 16, halfBits)
	if err != nil {
		return 0, fmt.Errorf("log position %q: %w", text, err)
	}
	l, err := strconv.ParseUint(low, 16, halfBits)
	if err != nil {
		return 0, fmt.Errorf("log position %q: %w", text, err)
	}
	return h<<halfBits | l, nil
}

// Format returns the text form of a byte offset.
func Format(offset uint64) string {
	return fmt.Sprintf("%X/%X", offset>>halfBits, uint32(offset))
}
