package ladderconfig

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"
)

// yamlIndent is the number of spaces by which written documents are indented.
const yamlIndent = 2

// AddException returns the document with the exception appended to its list of
// exceptions. An exception in the document with the same target and setting is
// removed. Comments and the order of keys are kept.
func AddException(document []byte, e Exception) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(document, &root); err != nil {
		return nil, err
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return nil, fmt.Errorf("the document is not a mapping")
	}
	list, err := valueNode(root.Content[0], "exceptions", yaml.SequenceNode)
	if err != nil {
		return nil, err
	}
	item := &yaml.Node{Kind: yaml.MappingNode}
	for _, pair := range [][2]string{{"target", e.Target}, {"set", e.Setting}, {"value", e.Value}, {"reason", e.Reason}} {
		item.Content = append(item.Content, scalarNode(pair[0]), scalarNode(pair[1]))
	}
	kept := list.Content[:0]
	for _, existing := range list.Content {
		if valueText(existing, "target") != e.Target || valueText(existing, "set") != e.Setting {
			kept = append(kept, existing)
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

// valueNode returns the value of a mapping's key, which must be of the given kind
// or empty. It adds the key with an empty value if the mapping does not have it.
func valueNode(mapping *yaml.Node, key string, kind yaml.Kind) (*yaml.Node, error) {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value != key {
			continue
		}
		value := mapping.Content[i+1]
		if value.Kind == yaml.ScalarNode && value.Tag == "!!null" {
			*value = yaml.Node{Kind: kind, HeadComment: value.HeadComment, LineComment: value.LineComment, FootComment: value.FootComment}
		}
		if value.Kind != kind {
			return nil, fmt.Errorf("line %d: the value of %s is of the wrong kind", value.Line, key)
		}
		return value, nil
	}
	node := &yaml.Node{Kind: kind}
	mapping.Content = append(mapping.Content, scalarNode(key), node)
	return node, nil
}

// valueText returns the text of the value of a mapping's key, or an empty string
// if the key is missing.
func valueText(mapping *yaml.Node, key string) string {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i+1].Value
		}
	}
	return ""
}

// scalarNode returns a node that holds the text as a string.
func scalarNode(text string) *yaml.Node {
	node := &yaml.Node{}
	node.SetString(text)
	return node
}
