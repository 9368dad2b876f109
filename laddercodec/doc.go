// Package laddercodec turns the messages between entry VMs into CBOR and back.
//
// A message travels as one byte that names its kind and a CBOR array with its
// parts in a fixed order. The mapping between messages and their encoded form is
// written by hand here, so that the messages themselves carry no tags.
//
// # Usage
//
//	data, err := laddercodec.Encode(laddermessage.Fetch{})
//	message, err := laddercodec.Decode(data)
//
// Decode accepts bytes from anyone. It bounds the size of arrays and maps and
// the depth of nesting, and never panics.
package laddercodec
