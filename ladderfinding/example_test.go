package ladderfinding_test

import (
	"fmt"

	"lacewingladder/ladderfinding"
)

func ExampleList() {
	var list ladderfinding.List
	list.Add(ladderfinding.Place{File: "fleet.yaml", Line: 9, Column: 5}, "an exception needs a written reason")
	list.Add(ladderfinding.Place{File: "fleet.yaml", Line: 4, Column: 3}, "zone %q is not listed", "chuo")
	fmt.Println(list.Err())
	// Output:
	// fleet.yaml:4:3: zone "chuo" is not listed
	// fleet.yaml:9:5: an exception needs a written reason
}
