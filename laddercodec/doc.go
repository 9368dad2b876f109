// Package laddercodec encodes the messages between entry VMs as CBOR, and decodes
// them.
//
// An encoded message is one byte that identifies the message type, followed by the
// message's content as one CBOR value. If the message has several fields, that value
// is an array of them in a fixed order. The mapping between messages and their encoded
// form is written by hand in this package, so that the message types do not need
// encoding tags.
//
// # Usage
//
//	data, err := laddercodec.Encode(laddermessage.FetchConfig{})
//	message, err := laddercodec.Decode(data)
//
// Decode is safe for untrusted input: it limits the size of arrays and maps and
// the depth of nesting, and never panics.
package laddercodec
