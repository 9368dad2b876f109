package ladderserver

import (
	"encoding/json"
	"fmt"

	"lacewingladder/ladderconfig"
)

// storedVersion is the JSON form of a version, in the platform's store and in the
// operators' interface.
type storedVersion struct {
	Number   uint64 `json:"number"`
	Change   string `json:"change"`
	By       string `json:"by"`
	Document string `json:"document"`
}

// EncodeVersion returns the JSON form of a version.
func EncodeVersion(v ladderconfig.Version) ([]byte, error) {
	return json.Marshal(storedVersion{Number: v.Number, Change: v.ChangeID, By: v.Operator, Document: v.Document})
}

// decodeVersion parses the JSON form of a version.
func decodeVersion(data []byte) (ladderconfig.Version, error) {
	var w storedVersion
	if err := json.Unmarshal(data, &w); err != nil {
		return ladderconfig.Version{}, fmt.Errorf("configuration in the store: %w", err)
	}
	return ladderconfig.Version{Number: w.Number, ChangeID: w.Change, Operator: w.By, Document: w.Document}, nil
}
