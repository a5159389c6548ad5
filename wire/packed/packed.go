package packed

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxBytes is the maximum uncompressed size of a message; it bounds the memory that a faulty sender
// can cause to be used.
const maxBytes = 64 << 20

// Marshal encodes and compresses a message; equal messages may have different encodings.
func Marshal(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return pack(data)
}

func pack(data []byte) ([]byte, error) {
	var out bytes.Buffer
	// The fastest level is enough: at any level, most of the compressed size is distinct names.
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unmarshal decompresses and decodes a message encoded by Marshal.
func Unmarshal(data []byte, m proto.Message) error {
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return fmt.Errorf("packed message: %w", err)
	}
	if len(plain) > maxBytes {
		return fmt.Errorf("packed message is over %d bytes", maxBytes)
	}
	return proto.Unmarshal(plain, m)
}
