package frame

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Types of frames sent by callers.
const (
	Query        = 'Q'
	Parse        = 'P'
	Bind         = 'B'
	Describe     = 'D'
	Execute      = 'E'
	Close        = 'C'
	Sync         = 'S'
	Flush        = 'H'
	Terminate    = 'X'
	CopyData     = 'd'
	CopyDone     = 'c'
	CopyFail     = 'f'
	FunctionCall = 'F'
	// Cancel is sent only between entry VMs and asks the owner to cancel the running statement.
	Cancel = 'k'
)

// Types of frames sent by servers.
const (
	ParseComplete   = '1'
	CloseComplete   = '3'
	CommandComplete = 'C'
	DataRow         = 'D'
	ErrorResponse   = 'E'
	ReadyForQuery   = 'Z'
	ParameterStatus = 'S'
	CopyInResponse  = 'G'
)

const (
	headerBytes  = 5
	maxBodyBytes = 256 << 20
	// MaxCallerBytes is the largest body of a caller's frame.
	MaxCallerBytes = 1 << 20
	bufferBytes    = 4096
	lengthBytes    = 4
)

// Frame is one protocol message: its type and its body without the length.
type Frame struct {
	Type byte
	Body []byte
}

// Size returns the encoded size of the frame in bytes.
func (f Frame) Size() int { return headerBytes + len(f.Body) }

// Reader reads frames from a stream.
type Reader struct {
	buffer *bufio.Reader
	limit  uint32
	// take counts what a large body takes beyond the buffer.
	take func(bytes int) bool
}

// ErrNoMemory means that there is no memory for a frame.
var ErrNoMemory = errors.New("the memory for messages of this VM is used up")

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, bufferBytes), limit: maxBodyBytes, take: func(int) bool { return true }}
}

// NewLimitedReader returns a Reader for a peer that is not under control: bodies have at most MaxCallerBytes, and take
// is asked for the memory of each that exceeds the buffer.
func NewLimitedReader(r io.Reader, take func(bytes int) bool) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, bufferBytes), limit: MaxCallerBytes, take: take}
}

// AwaitPart waits for the first byte of the next frame, and reports whether its rest has arrived as well.
func (r *Reader) AwaitPart() (whole bool, err error) {
	if _, err := r.buffer.Peek(1); err != nil {
		return false, err
	}
	if r.buffer.Buffered() < headerBytes {
		return false, nil
	}
	header, err := r.buffer.Peek(headerBytes)
	if err != nil {
		return false, err
	}
	return uint64(r.buffer.Buffered()) > uint64(binary.BigEndian.Uint32(header[1:])), nil
}

// Next returns the next frame; its body is not reused by later calls.
func (r *Reader) Next() (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.buffer, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[1:])
	if length < lengthBytes || length-lengthBytes > r.limit {
		return Frame{}, fmt.Errorf("frame of type %q has length %d; at most %d is accepted", header[0], length, r.limit)
	}
	body, err := r.readBody(int(length - lengthBytes))
	return Frame{Type: header[0], Body: body}, err
}

// readBody grows the body as it arrives, so that a declared length alone allocates no memory.
func (r *Reader) readBody(length int) ([]byte, error) {
	body := make([]byte, 0, min(length, bufferBytes))
	for {
		n, err := io.ReadFull(r.buffer, body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil || len(body) == length {
			return body, err
		}
		grown := min(2*cap(body), length)
		if !r.take(grown - cap(body)) {
			return nil, ErrNoMemory
		}
		body = append(make([]byte, 0, grown), body...)
	}
}

// Buffered reports whether unread bytes are buffered.
func (r *Reader) Buffered() bool { return r.buffer.Buffered() > 0 }

// Writer writes frames through a buffer.
type Writer struct {
	buffer *bufio.Writer
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	return &Writer{buffer: bufio.NewWriterSize(w, bufferBytes)}
}

// Write adds one frame to the buffer.
func (w *Writer) Write(f Frame) error {
	var header [headerBytes]byte
	header[0] = f.Type
	binary.BigEndian.PutUint32(header[1:], uint32(len(f.Body)+lengthBytes))
	if _, err := w.buffer.Write(header[:]); err != nil {
		return err
	}
	_, err := w.buffer.Write(f.Body)
	return err
}

// Flush writes the buffered frames to the underlying writer.
func (w *Writer) Flush() error { return w.buffer.Flush() }

type encoder interface {
	Encode(dst []byte) ([]byte, error)
}

// Encode encodes a pgproto3 message as a frame. It panics if the message cannot be encoded, which is a
// programming error.
func Encode(message encoder) Frame {
	data, err := message.Encode(nil)
	if err != nil {
		panic(fmt.Sprintf("frame: encode %T: %v", message, err))
	}
	return Frame{Type: data[0], Body: data[headerBytes:]}
}

// Error returns an ErrorResponse frame.
func Error(severity, code, message, hint string) Frame {
	return Encode(&pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: code, Message: message, Hint: hint,
	})
}

// Ready returns a ReadyForQuery frame with the given transaction status.
func Ready(status byte) Frame { return Frame{Type: ReadyForQuery, Body: []byte{status}} }
