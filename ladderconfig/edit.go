package ladderconfig

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"
)

// yamlIndent is the indentation of documents that are written.
const yamlIndent = 2

// AddException returns a document with one more exception at the end of its list.
// Comments and order are kept. An exception with the same target and setting is
// replaced.
func AddException(document []byte, e Exception) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(document, &root); err != nil {
		return nil, err
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("the document is not a mapping")
	}
	list := child(root.Content[0], "exceptions", yaml.SequenceNode)
	item := &yaml.Node{Kind: yaml.MappingNode}
	for _, pair := range [][2]string{{"target", e.Target}, {"set", e.Set}, {"value", e.Value}, {"reason", e.Reason}} {
		item.Content = append(item.Content, scalar(pair[0]), scalar(pair[1]))
	}
	kept := list.Content[:0]
	for _, old := range list.Content {
		if value(old, "target") != e.Target || value(old, "set") != e.Set {
			kept = append(kept, old)
		}
	}
	list.Content = append(kept, item)
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(yamlIndent)
	if err := encoder.Encode(&root); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// child returns the value of a mapping's key, which it adds when it is missing.
func child(mapping *yaml.Node, key string, kind yaml.Kind) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key && mapping.Content[i+1].Kind == kind {
			return mapping.Content[i+1]
		}
	}
	node := &yaml.Node{Kind: kind}
	mapping.Content = append(mapping.Content, scalar(key), node)
	return node
}

// value returns the text of a mapping's key, or an empty string.
func value(mapping *yaml.Node, key string) string {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i+1].Value
		}
	}
	return ""
}

func scalar(text string) *yaml.Node {
	n := &yaml.Node{}
	n.SetString(text)
	return n
}
