package ladderplacement_test

import (
	"fmt"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

func ExamplePolicy() {
	whole := laddermodel.Size{Slots: 8, Millicores: 8000, Memory: 8 << 30}
	half := laddermodel.Size{Slots: 4, Millicores: 4000, Memory: 4 << 30}
	busy := laddermodel.Worker{Name: "busy", Size: whole}
	idle := laddermodel.Worker{Name: "idle", Size: whole}
	candidates := []ladderplacement.Candidate{{Worker: &idle, Free: whole}, {Worker: &busy, Free: half}}
	need := laddermodel.Size{Slots: 1, Millicores: 1000, Memory: 1 << 30}
	for _, name := range []string{"pack", "spread"} {
		policy, err := ladderplacement.NewPolicy(name, 1)
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(name, candidates[policy.Pick(need, candidates)].Worker.Name)
	}
	// Output:
	// pack busy
	// spread idle
}
