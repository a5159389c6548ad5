package main

import (
	"bufio"
	"bytes"
	"errors"
)

// maxMessageBytes is the largest size of a message.
const maxMessageBytes = 1 << 20

// readMessage returns the next message without the CR LF that ends it. A CR or LF alone is data.
func readMessage(r *bufio.Reader) (string, error) {
	var message []byte
	for {
		part, err := r.ReadSlice('\n')
		message = append(message, part...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
		if whole, ok := bytes.CutSuffix(message, []byte("\r\n")); ok {
			return string(whole), nil
		}
		if len(message) > maxMessageBytes {
			return "", errors.New("a message is longer than 1 MiB")
		}
	}
}
