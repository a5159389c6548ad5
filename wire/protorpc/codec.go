package protorpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"sync/atomic"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"trefoilcourse/wire"
)

const maxMessageBytes = 64 << 20

// ErrNotEncoded means that a call was not sent because its request cannot be encoded.
var ErrNotEncoded = errors.New("the message cannot be encoded")

// Traffic counts the bytes that codecs have read and written.
type Traffic struct {
	read    atomic.Uint64
	written atomic.Uint64
}

// Read returns the number of bytes received.
func (t *Traffic) Read() uint64 { return t.read.Load() }

// Written returns the number of bytes sent.
func (t *Traffic) Written() uint64 { return t.written.Load() }

type codec struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	writer *bufio.Writer
}

type countedConn struct {
	io.ReadWriteCloser
	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Read(p)
	c.traffic.read.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.ReadWriteCloser.Write(p)
	c.traffic.written.Add(uint64(n))
	return n, err
}

func newCodec(conn io.ReadWriteCloser, traffic *Traffic) *codec {
	if traffic == nil {
		traffic = &Traffic{}
	}
	counted := countedConn{conn, traffic}
	return &codec{
		conn:   conn,
		reader: bufio.NewReaderSize(counted, 4096),
		writer: bufio.NewWriterSize(counted, 4096),
	}
}

func (c *codec) readHeader() (*wire.RpcHeader, error) {
	header := &wire.RpcHeader{}
	if err := c.readMessage(header); err != nil {
		return nil, err
	}
	return header, nil
}

func (c *codec) readMessage(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return options.UnmarshalFrom(c.reader, m)
}

func (c *codec) readBody(body any) error {
	if body == nil {
		return c.readMessage(&wire.Empty{})
	}
	message, ok := body.(proto.Message)
	if !ok {
		return fmt.Errorf("type %T is not a protobuf message", body)
	}
	return c.readMessage(message)
}

// write sends a header and its body, or nothing if one of them cannot be encoded: a header alone would take the next message
// for its body.
func (c *codec) write(header *wire.RpcHeader, body any) error {
	message, ok := body.(proto.Message)
	if !ok {
		message = &wire.Empty{}
	}
	encodedHeader, err := proto.Marshal(header)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotEncoded, err)
	}
	encodedBody, err := proto.Marshal(message)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotEncoded, err)
	}
	for _, encoded := range [][]byte{encodedHeader, encodedBody} {
		if _, err := c.writer.Write(protowire.AppendVarint(nil, uint64(len(encoded)))); err != nil {
			return err
		}
		if _, err := c.writer.Write(encoded); err != nil {
			return err
		}
	}
	return c.writer.Flush()
}

type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(&wire.RpcHeader{Method: r.ServiceMethod, Sequence: r.Seq}, body)
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	header, err := c.readHeader()
	if err != nil {
		return err
	}
	r.ServiceMethod = header.GetMethod()
	r.Seq = header.GetSequence()
	r.Error = header.GetError()
	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c clientCodec) Close() error { return c.conn.Close() }

// NewClientCodec returns a codec for rpc.NewClientWithCodec; traffic may be nil.
func NewClientCodec(conn io.ReadWriteCloser, traffic *Traffic) rpc.ClientCodec {
	return clientCodec{newCodec(conn, traffic)}
}
