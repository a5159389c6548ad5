// Package packed encodes messages that repeat themselves, such as a whole configuration, in a
// small part of their size.
//
//	data, err := packed.Marshal(message)
//	...
//	err = packed.Unmarshal(data, message)
package packed
