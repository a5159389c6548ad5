// Package packed encodes and compresses protobuf messages with repetitive content, such as a whole
// configuration.
//
//	data, err := packed.Marshal(message)
//	...
//	err = packed.Unmarshal(data, message)
package packed
