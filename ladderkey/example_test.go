package ladderkey_test

import (
	"fmt"
	"strings"
	"time"

	"lacewingladder/ladderkey"
)

func ExampleMint() {
	at := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	key, err := ladderkey.Mint(at, "chuo", strings.NewReader("ten  bytes"))
	if err != nil {
		fmt.Println(err)
		return
	}
	minted, ok := ladderkey.MintTime(key)
	fmt.Println(minted.UTC(), ok)
	fmt.Println(ladderkey.HomeRack(key, []ladderkey.Zone{
		{Name: "chuo", Racks: []string{"chuo-r1"}},
		{Name: "asahi", Racks: []string{"asahi-r1", "asahi-r2"}},
	}))
	// Output:
	// 2026-12-03 12:00:00 +0000 UTC true
	// chuo-r1
}
